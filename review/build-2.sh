#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10. They are Python and need no build;
# this only checks that the interpreter can read them.
set -euo pipefail
cd "$(dirname "$0")"
for source in 8/standin.py [0-9]*/case.py; do
  case "$source" in [1-5]/*) continue ;; esac
  python3 -B -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$source"
done
