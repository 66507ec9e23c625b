#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: Python of the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q standins 1 2 3
