#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests require.
set -euo pipefail

PACKAGES="g++ cmake ninja-build ccache libboost1.81-dev libboost-json1.81-dev
  libflatbuffers-dev flatbuffers-compiler libgflags-dev libgoogle-glog-dev
  libcppunit-dev libsodium-dev libxxhash-dev pkg-config libyaml-cpp-dev clang-format clang-tidy curl python3"

missing=""
for package in $PACKAGES; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
    grep -q "install ok installed" || missing="$missing $package"
done
[ -n "$missing" ] || exit 0

as_root() { if [ "$(id -u)" = 0 ]; then "$@"; else sudo "$@"; fi; }
as_root apt-get update -q
# shellcheck disable=SC2086
as_root env DEBIAN_FRONTEND=noninteractive apt-get install -y -q $missing
