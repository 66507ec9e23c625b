#!/usr/bin/env bash
# Makes the virtual environment and installs the workspace, once for each change of the
# contents of what is installed. Called by the Makefile under a lock.
set -euo pipefail
venv=$1
stamp=$2
inputs=(constraints.txt requirements-dev.txt packages/*/pyproject.toml platform/pyproject.toml)
digest=$(sha256sum "${inputs[@]}")
if [ -x "$venv/bin/python" ] && [ "$(cat "$stamp" 2>/dev/null)" = "$digest" ]; then
    exit 0
fi
[ -x "$venv/bin/python" ] || python3 -m venv "$venv"
"$venv/bin/python" -m pip install -q --disable-pip-version-check \
    -c constraints.txt -r requirements-dev.txt
printf '%s\n' "$digest" > "$stamp"
