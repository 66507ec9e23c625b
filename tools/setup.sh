#!/usr/bin/env bash
# Makes the virtual environment and installs the workspace, once for each change
# of the constraints. Called by the Makefile under a lock.
set -euo pipefail
venv=$1
stamp=$2
if [ -f "$stamp" ] && [ "$stamp" -nt constraints.txt ] \
    && [ "$stamp" -nt requirements-dev.txt ] \
    && [ -z "$(find packages platform -maxdepth 2 -name pyproject.toml -newer "$stamp")" ]; then
    exit 0
fi
[ -x "$venv/bin/python" ] || python3 -m venv "$venv"
"$venv/bin/python" -m pip install -q --disable-pip-version-check \
    -c constraints.txt -r requirements-dev.txt
touch "$stamp"
