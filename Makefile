# Every target works from any folder: make -C path/to/fuchsiagap demo
VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: always setup build demo test check-model lint format clean
setup: $(STAMP)

# Decided by contents, not by times, in the script. Two targets may set up at once; the
# lock lets one of them do it.
always:
$(STAMP): always
	@flock .setup.lock tools/setup.sh $(VENV) $(STAMP)

# The node as the platform runs it, under target/deps.
build:
	@deploy/build.sh

demo: $(STAMP)
	@$(PY) -m fuchsiagap_standins.demo

test: $(STAMP) build
	@$(PY) tools/run_tests.py

check-model: $(STAMP)
	@$(PY) -m fuchsiagap_standins.model --bound large

lint: $(STAMP)
	@$(PY) -m ruff format --check packages platform deploy tools conftest.py
	@$(PY) -m ruff check packages platform deploy tools conftest.py
	@$(PY) -m flake8 packages platform
	@$(PY) -m mypy
	@$(VENV)/bin/lint-imports
	@$(PY) tools/check_names.py
	@$(PY) tools/check_findings.py

format: $(STAMP)
	@$(PY) -m ruff format packages platform deploy tools conftest.py
	@$(PY) -m ruff check --fix packages platform deploy tools conftest.py

clean:
	rm -rf $(VENV) .setup.lock
