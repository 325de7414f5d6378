#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config git clang-format clang-tidy python3
  libabsl-dev libcapnp-dev capnproto libboost-dev libcpp-httplib-dev
  libgflags-dev libspdlog-dev libfmt-dev catch2 libinih-dev librapidcheck-dev
  libxxhash-dev libzstd-dev nlohmann-json3-dev libbenchmark-dev liburcu-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
