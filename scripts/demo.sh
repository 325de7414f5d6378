#!/usr/bin/env bash
# Installs what is needed, builds, and shows the main path on real processes.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build | tail -n 1
python3 tests/system/demo.py build/bin
