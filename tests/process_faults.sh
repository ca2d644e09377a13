#!/usr/bin/env bash
# Real processes under load, killed, frozen and robbed of their disks; at the
# end the fake targets' own list of what ran is held against what every caller
# was told, and the version in force against the changes accepted.
#   tests/process_faults.sh [oficina|union] [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
EXAMPLE="${1:-oficina}"
SEED="${2:-1}"
BUILD="${BUILD:-build}"
. scripts/lib/group.sh
check_example "$EXAMPLE" "$SEED"
trap stop_group EXIT

LOAD_SECONDS=50
fail() { echo "FAILED: $*" >&2; exit 1; }
step() { echo "== $*"; }

expected=0
change() {  # change ID: applies lists with a new quota, by a resend-safe id
  local quota=$((80 + expected % 20 + 1))
  sed "s/^quota = .*/quota = $quota/" "examples/$EXAMPLE/plans.ini" \
    >"$RUN/plans.ini"
  operate --id "$1" --expect "$expected" apply "$RUN/plans.ini" \
    "examples/$EXAMPLE/uses.ini" || fail "change $1 was not accepted"
  expected=$((expected + 1))
}

follower() {  # a control member that does not lead
  local leading name
  leading="$(leader)"
  for name in $CONTROLS; do
    [ "$name" = "$leading" ] || { echo "$name"; return; }
  done
}

metric() {  # metric NAME METRIC: a gauge of one control member
  curl -s -m 2 "http://$(setting "$1" http)/metrics" |
    sed -n "s/^$2 //p" || true
}

wait_for_voter() {  # until the member votes and has applied what is committed
  local tries=0 committed applied voter
  committed="$(status_number commit_index)"
  while true; do
    applied="$(metric "$1" bronzebarrow_control_applied_index)"
    voter="$(metric "$1" bronzebarrow_control_is_voter)"
    if [ "$voter" = 1 ] && [ "${applied:-0}" -ge "$committed" ]; then return; fi
    tries=$((tries + 1))
    [ "$tries" -lt 150 ] || fail "$1 did not come back as a voter"
    sleep 0.2
  done
}

step "start"
start_group
change first
wait_for_instances 50
load "$LOAD_SECONDS" "$SEED" >"$RUN/load.txt" 2>&1 &
load_pid="$!"
sleep 1

step "kill -9 of the leader during a change"
victim="$(leader)"
kill_process "$victim"
change after-leader-kill
start_control "$victim"

step "SIGSTOP of the leader past its term, and its waking"
victim="$(leader)"
signal_process "$victim" STOP
change after-leader-freeze
signal_process "$victim" CONT
sleep 1
change after-leader-woke

step "kill -9 of an entry; a change; its restart"
kill_process e2
change while-entry-is-dead
start_entry e2

step "SIGSTOP of an entry past its lease"
signal_process e3 STOP
change while-entry-is-frozen
signal_process e3 CONT

step "a data folder deleted"
victim="$(follower)"
kill_process "$victim"
rm -rf "${RUN:?}/$victim"
change while-disk-is-lost
start_control "$victim"
wait_for_voter "$victim"

step "a torn tail"
victim="$(follower)"
kill_process "$victim"
log="$(ls "$RUN/$victim"/log-* | tail -n 1)"
head -c 40 "$log" | tail -c 33 >>"$log"
start_control "$victim"
wait_for_voter "$victim"
grep -q log_tail_cut "$RUN/$victim.log" || fail "the torn tail was not cut"

step "a damaged middle"
victim="$(follower)"
kill_process "$victim"
log="$(ls "$RUN/$victim"/log-* | tail -n 1)"
middle=$(($(stat -c %s "$log") / 2))
head -c 16 /dev/zero | dd of="$log" bs=1 seek="$middle" conv=notrunc status=none
code=0
timeout 10 "$BUILD/bronzebarrow-control" \
  --settings "examples/$EXAMPLE/$victim.ini" >>"$RUN/$victim.log" 2>&1 || code="$?"
[ "$code" -eq 4 ] || fail "a damaged log gave exit code $code, not 4"
grep -q "code=log_damaged" "$RUN/$victim.log" || fail "no typed error"
rm -rf "${RUN:?}/$victim"
start_control "$victim"
wait_for_voter "$victim"

step "operators racing with equal numbers, and resends"
racers=""
for i in 1 2 3 4 5; do
  operate --id "race-$i" --expect "$expected" apply \
    "examples/$EXAMPLE/plans.ini" "examples/$EXAMPLE/uses.ini" \
    >"$RUN/race-$i.txt" 2>&1 &
  racers="$racers $!"
done
winners=0
for pid in $racers; do if wait "$pid"; then winners=$((winners + 1)); fi; done
[ "$winners" -eq 1 ] || fail "$winners operators won the race"
[ "$(grep -l version_conflict "$RUN"/race-*.txt | wc -l)" -eq 4 ] ||
  fail "the losers were not told of the conflict"
winner="$(basename "$(grep -l accepted "$RUN"/race-*.txt)" .txt)"
grep -q "set by change $winner" "$RUN"/race-*.txt || fail "winner not named"
operate --id "$winner" --expect "$expected" apply \
  "examples/$EXAMPLE/plans.ini" "examples/$EXAMPLE/uses.ini" \
  >"$RUN/resend.txt" || fail "the resend was refused"
expected=$((expected + 1))
grep -q "version $expected" "$RUN/resend.txt" || fail "another first answer"

step "a planned stop under load"
pool="$(setting load pools | cut -d, -f1)"
operate --wait stop "$pool-5"

step "an entry stopped gracefully under load"
signal_process e5 TERM
wait "$(cat "$RUN/e5.pid")" || fail "e5 did not stop cleanly"
start_entry e5

step "the callers' answers against the targets' list"
load_code=0
wait "$load_pid" || load_code="$?"
cat "$RUN/load.txt"
[ "$load_code" -eq 0 ] || fail "a promise to callers broke"

step "every control member killed at once"
for name in $CONTROLS; do kill_process "$name"; done
for name in $CONTROLS; do start_control "$name"; done
version="$(status_number config_version)"
[ "$version" = "$expected" ] || fail "version $version, not $expected"
# Every entry must hold that version within the bound for configurations, 3 s.
held=""
for _ in $(seq 15); do
  held="$(entry_versions | sort -u)"
  [ "$held" = "$expected" ] && break
  sleep 0.2
done
[ "$held" = "$expected" ] || fail "entries hold $held, not all $expected"
change after-full-restart
if grep -h invariant_broken "$RUN"/*.log; then fail "an invariant broke"; fi
echo "all held"
