#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code from schema/wire.fbs.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --gen-object-api --scoped-enums --cpp-std c++17 \
  -o generated/bronzebarrow schema/wire.fbs
# flatc unpacks a vector of bytes by its iterators, one byte at a time.
sed -i 's/std::copy(_e->begin(), _e->end(), \([^;]*\)\.begin())/std::copy_n(_e->data(), _e->size(), \1.begin())/' \
  generated/bronzebarrow/wire_generated.h
