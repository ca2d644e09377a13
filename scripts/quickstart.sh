#!/usr/bin/env bash
# Builds, starts one example on loopback, sends load during a planned stop and a
# drill, reports whether each guarantee held, and stops all processes it started.
#   scripts/quickstart.sh [--user oficina|union] [--seconds N] [--seed N]
# Exits non-zero if a guarantee was broken.
set -euo pipefail
cd "$(dirname "$0")/.."

EXAMPLE=oficina
LOAD_SECONDS=20
SEED=1
while [ "$#" -gt 0 ]; do
  case "$1" in
    --user) EXAMPLE="$2"; shift 2 ;;
    --seconds) LOAD_SECONDS="$2"; shift 2 ;;
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
# check_guarantee TEXT COMMAND...: the guarantee holds if COMMAND succeeds
check_guarantee() {
  local text="$1"
  shift
  if "$@"; then echo "held: $text"; else echo "BROKEN: $text"; broken=1; fi
}

echo "== starting 3 control members, 6 entries and 50 fake targets ($EXAMPLE)"
start_group
check_guarantee "the two lists are accepted and in force on every entry" apply_lists
wait_for_instances 50

POOL="$(setting load pools | cut -d, -f1)"
echo "== $LOAD_SECONDS s of load, during a planned stop and a drill"
load "$LOAD_SECONDS" "$SEED" >"$RUN/load.txt" 2>&1 &
load_pid="$!"
sleep 2
check_guarantee "an instance under a planned stop drains, is released and returns" \
  operate --wait stop "$POOL-3"
check_guarantee "a drill stops an instance, which returns to service" \
  operate drill "$POOL"
load_code=0
wait "$load_pid" || load_code="$?"
cat "$RUN/load.txt"
check_guarantee "reported outcomes are true; no request was cut off or executed twice" \
  [ "$load_code" -eq 0 ]
check_guarantee "no plan is below its floor; live entries use the version in force" \
  operate report

echo "== status"
operate status | sed -n 1,30p
[ "$broken" -eq 0 ] && echo "every guarantee held" || echo "a guarantee is BROKEN"
exit "$broken"
