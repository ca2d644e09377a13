#!/usr/bin/env bash
# Real processes under load are killed, suspended and lose or damage their data
# folders. At the end the outcomes that callers received must agree with the fake
# targets' record of executed requests, and the configuration version in force
# must agree with the number of accepted changes.
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

expected_version=0
# change ID: applies lists with a new quota; ID makes resends idempotent
change() {
  local quota=$((80 + expected_version % 20 + 1))
  sed "s/^quota = .*/quota = $quota/" "examples/$EXAMPLE/plans.ini" \
    >"$RUN/plans.ini"
  operate --id "$1" --expect "$expected_version" apply "$RUN/plans.ini" \
    "examples/$EXAMPLE/uses.ini" || fail "change $1 was not accepted"
  expected_version=$((expected_version + 1))
}

follower() {  # the name of a control member that is not the leader
  local leader_name name
  leader_name="$(leader)"
  for name in $CONTROLS; do
    [ "$name" = "$leader_name" ] || { echo "$name"; return; }
  done
}

metric() {  # metric NAME METRIC: a metric's value at one control member
  curl -s -m 2 "http://$(setting "$1" http)/metrics" |
    sed -n "s/^$2 //p" || true
}

# wait_for_voter NAME: until the member is a voter and has applied all entries that
# were committed at the start of the wait.
wait_for_voter() {
  local tries=0 committed applied voter
  committed="$(status_number commit_index)"
  while true; do
    applied="$(metric "$1" bronzebarrow_control_applied_index)"
    voter="$(metric "$1" bronzebarrow_control_is_voter)"
    if [ "$voter" = 1 ] && [ "${applied:-0}" -ge "$committed" ]; then return; fi
    tries=$((tries + 1))
    [ "$tries" -lt 150 ] || fail "$1 did not become a voter again"
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

step "kill -9 of the leader; a change; its restart"
victim="$(leader)"
kill_process "$victim"
change after-leader-kill
start_control "$victim"

step "SIGSTOP of the leader until another member leads; SIGCONT"
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

step "SIGSTOP of an entry until its lease has expired; SIGCONT"
signal_process e3 STOP
change while-entry-is-frozen
signal_process e3 CONT

step "data folder of a follower deleted"
victim="$(follower)"
kill_process "$victim"
rm -rf "${RUN:?}/$victim"
change while-disk-is-lost
start_control "$victim"
wait_for_voter "$victim"

step "torn record at the end of a follower's log"
victim="$(follower)"
kill_process "$victim"
log="$(ls "$RUN/$victim"/log-* | tail -n 1)"
head -c 40 "$log" | tail -c 33 >>"$log"
start_control "$victim"
wait_for_voter "$victim"
grep -q log_tail_cut "$RUN/$victim.log" ||
  fail "the torn record was not cut off"

step "damage in the middle of a follower's log"
victim="$(follower)"
kill_process "$victim"
log="$(ls "$RUN/$victim"/log-* | tail -n 1)"
middle=$(($(stat -c %s "$log") / 2))
head -c 16 /dev/zero | dd of="$log" bs=1 seek="$middle" conv=notrunc status=none
code=0
timeout 10 "$BUILD/bronzebarrow-control" \
  --settings "examples/$EXAMPLE/$victim.ini" >>"$RUN/$victim.log" 2>&1 || code="$?"
[ "$code" -eq 4 ] || fail "a damaged log led to exit code $code instead of 4"
grep -q "code=log_damaged" "$RUN/$victim.log" ||
  fail "$victim did not log log_damaged"
rm -rf "${RUN:?}/$victim"
start_control "$victim"
wait_for_voter "$victim"

step "concurrent changes that expect the same version; a resend"
change_pids=""
for i in 1 2 3 4 5; do
  operate --id "race-$i" --expect "$expected_version" apply \
    "examples/$EXAMPLE/plans.ini" "examples/$EXAMPLE/uses.ini" \
    >"$RUN/race-$i.txt" 2>&1 &
  change_pids="$change_pids $!"
done
accepted_count=0
for pid in $change_pids; do
  if wait "$pid"; then accepted_count=$((accepted_count + 1)); fi
done
[ "$accepted_count" -eq 1 ] ||
  fail "$accepted_count concurrent changes were accepted instead of 1"
[ "$(grep -l version_conflict "$RUN"/race-*.txt | wc -l)" -eq 4 ] ||
  fail "not every rejected change reported version_conflict"
accepted_id="$(basename "$(grep -l accepted "$RUN"/race-*.txt)" .txt)"
grep -q "set by change $accepted_id" "$RUN"/race-*.txt ||
  fail "no conflict names the accepted change"
operate --id "$accepted_id" --expect "$expected_version" apply \
  "examples/$EXAMPLE/plans.ini" "examples/$EXAMPLE/uses.ini" \
  >"$RUN/resend.txt" || fail "the resend was refused"
expected_version=$((expected_version + 1))
grep -q "version $expected_version" "$RUN/resend.txt" ||
  fail "the resend did not return the first answer"

step "a planned stop under load"
pool="$(setting load pools | cut -d, -f1)"
operate --wait stop "$pool-5"

step "graceful stop of an entry under load"
signal_process e5 TERM
wait "$(cat "$RUN/e5.pid")" || fail "e5 did not exit with code 0"
start_entry e5

step "callers' outcomes compared with the targets' record"
load_code=0
wait "$load_pid" || load_code="$?"
cat "$RUN/load.txt"
[ "$load_code" -eq 0 ] || fail "a guarantee to callers was broken"

step "kill -9 of all control members; their restart"
for name in $CONTROLS; do kill_process "$name"; done
for name in $CONTROLS; do start_control "$name"; done
version="$(status_number config_version)"
[ "$version" = "$expected_version" ] ||
  fail "version $version instead of $expected_version"
# Every entry must use that version within 3 s, the bound for the distribution of
# configurations.
versions_in_use=""
for _ in $(seq 15); do
  versions_in_use="$(entry_versions | sort -u)"
  [ "$versions_in_use" = "$expected_version" ] && break
  sleep 0.2
done
[ "$versions_in_use" = "$expected_version" ] ||
  fail "entries use versions $versions_in_use instead of only $expected_version"
change after-full-restart
if grep -h invariant_broken "$RUN"/*.log; then fail "an invariant was broken"; fi
echo "all checks passed"
