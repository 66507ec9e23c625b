#!/usr/bin/env bash
# Installs the node and its libraries under target/deps, without tests and stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=target/.installed
sources=$(find requirements.txt constraints.txt deploy packages/fuchsiagap/src \
    packages/fuchsiagap-node/src platform/src -newer "$stamp" -type f \
    -not -path '*/__pycache__/*' 2>/dev/null | head -1 || true)
if [ -f "$stamp" ] && [ -z "$sources" ]; then
    exit 0
fi
if [ ! -d target/deps ] || [ requirements.txt -nt "$stamp" ]; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --no-cache-dir \
        --target target/deps -c constraints.txt -r requirements.txt
fi
for package in packages/fuchsiagap/src/fuchsiagap \
    packages/fuchsiagap-node/src/fuchsiagap_node \
    platform/src/fuchsiagap_platform; do
    name=$(basename "$package")
    rm -rf "target/deps/$name"
    mkdir -p "target/deps/$name"
    (cd "$package" && find . -name '*.py' -not -path '*/tests/*' \
        | tar -cf - -T -) | tar -xf - -C "target/deps/$name"
done
python3 -m compileall -q target/deps || true
touch "$stamp"
