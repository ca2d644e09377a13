#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are Python programs that use the standard library
# only: there is nothing to build. Checks that they can be started.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for file in 1[1-5]/*.py; do
  python3 -m py_compile "$file"
done
rm -rf 1[1-5]/__pycache__
