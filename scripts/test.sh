#!/usr/bin/env bash
# Installs, builds and runs all tests. Arguments go to ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
cd build
ctest --output-on-failure "$@"
