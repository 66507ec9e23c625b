#!/usr/bin/env bash
# Installs the node and its libraries under target/deps, without tests and stand-ins.
# `deploy/build.sh --check [URL...]` compares that, and running nodes by the URLs of
# their metrics, with the sources.
exec python3 "$(dirname "$0")/build.py" "$@"
