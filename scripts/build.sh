#!/usr/bin/env bash
# Configures and builds into a folder: scripts/build.sh FOLDER [CMake options]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
shift || true
mkdir -p "$folder"
cmake -S . -B "$folder" -G Ninja "$@" >"$folder/configure.log" 2>&1 || {
  cat "$folder/configure.log"
  exit 1
}
cmake --build "$folder" --parallel "${OLEANDERTIDE_JOBS:-$(nproc)}"
