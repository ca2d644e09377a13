#!/usr/bin/env bash
# Installs the required packages, builds, and runs all tests. Arguments are
# passed to ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
cd build
ctest --output-on-failure "$@"
