#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code from schema/wire.fbs.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --gen-object-api --scoped-enums --cpp-std c++17 \
  -o generated/bronzebarrow schema/wire.fbs
