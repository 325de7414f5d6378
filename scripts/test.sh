#!/usr/bin/env bash
# Installs what is needed, builds, and runs everything that CI runs.
set -euo pipefail
cd "$(dirname "$0")/.."
step() { printf '== %s\n' "$*"; }
step "install packages"
scripts/install-packages.sh
step "names of the platform's wire"
scripts/check-wire-names.sh
step "build"
scripts/build.sh build
step "formatter and linter"
scripts/check-style.sh build
step "build with address and undefined-behaviour sanitizers"
# Level 1 of optimisation: without it the property tests take minutes.
scripts/build.sh build-sanitize -DOLEANDERTIDE_SANITIZE=ON \
  -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1"
step "tests with sanitizers"
# The tests of real processes measure time-outs, which sanitizers distort.
scripts/run-tests.sh build-sanitize -LE system
step "tests"
scripts/run-tests.sh build
