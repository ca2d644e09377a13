#!/usr/bin/env bash
# The stand-ins are Python 3 and use its standard library only, so nothing is
# compiled. Checks that they can be read, and that the deploy file's build is there.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/common/*.py review/[1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
[ -x target/bronzebarrow-platform ] ||
  { echo "target/bronzebarrow-platform is missing: run the build of deploy/system.toml"; exit 1; }
echo "stand-ins: ready"
