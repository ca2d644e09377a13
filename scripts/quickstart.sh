#!/usr/bin/env bash
# Builds, starts one example on loopback, sends load during a planned stop and a
# drill, reports whether each guarantee held, and stops all processes it started.
#   scripts/quickstart.sh [--user oficina|union] [--seconds N] [--seed N]
# Exits non-zero if a guarantee was broken.
set -euo pipefail
cd "$(dirname "$0")/.."

EXAMPLE=oficina
SECONDS_OF_LOAD=20
SEED=1
while [ "$#" -gt 0 ]; do
  case "$1" in
    --user) EXAMPLE="$2"; shift 2 ;;
    --seconds) SECONDS_OF_LOAD="$2"; shift 2 ;;
    --seed) SEED="$2"; shift 2 ;;
    *) echo "usage: $0 [--user oficina|union] [--seconds N] [--seed N]" >&2
       exit 2 ;;
  esac
done
if [ ! -d "examples/$EXAMPLE" ]; then
  echo "unknown example: $EXAMPLE" >&2
  exit 2
fi
BUILD=build
scripts/build.sh
. scripts/lib/group.sh
trap stop_group EXIT

broken=0
promise() {  # promise TEXT COMMAND...: the guarantee holds if COMMAND succeeds
  local text="$1"
  shift
  if "$@"; then echo "held: $text"; else echo "BROKEN: $text"; broken=1; fi
}

echo "== starting 3 control members, 6 entries and 50 fake targets ($EXAMPLE)"
start_group
promise "the two lists are accepted and in force on every entry" apply_lists
wait_for_instances 50

POOL="$(setting load pools | cut -d, -f1)"
echo "== $SECONDS_OF_LOAD s of load, during a planned stop and a drill"
load "$SECONDS_OF_LOAD" "$SEED" >"$RUN/load.txt" 2>&1 &
load_pid="$!"
sleep 2
promise "an instance under a planned stop drains, is released and returns" \
  operate --wait stop "$POOL-3"
promise "a drill stops an instance, which returns to service" operate drill "$POOL"
load_code=0
wait "$load_pid" || load_code="$?"
cat "$RUN/load.txt"
promise "reported outcomes are true; no request was cut off or executed twice" \
  [ "$load_code" -eq 0 ]
promise "no plan is below its floor; live entries use the version in force" \
  operate report

echo "== status"
operate status | sed -n 1,30p
[ "$broken" -eq 0 ] && echo "every guarantee held" || echo "a guarantee is BROKEN"
exit "$broken"
