#!/usr/bin/env bash
# Installs the required packages and builds everything into build/
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
