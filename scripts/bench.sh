#!/usr/bin/env bash
# Reruns every published measurement on this machine: scripts/bench.sh [--quick]
# Exit status 1 if a figure is out of its bound.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build | tail -n 1
exec python3 benchmarks/system/bench.py "$@"
