#!/usr/bin/env bash
# Sends bad input to real processes. Each case must return its typed error, and
# each process must keep serving or refuse to start.
set -euo pipefail
cd "$(dirname "$0")/.."
EXAMPLE="${1:-oficina}"
BUILD="${BUILD:-build}"
. scripts/lib/group.sh
trap stop_group EXIT

fail() { echo "FAILED: $*" >&2; exit 1; }
ENTRY="http://$(setting e1 http)"
PLAN="$(sed -n 's/^\[\(.*\)\]$/\1/p' "examples/$EXAMPLE/plans.ini" | head -n 1)"

expect() {  # expect STATUS CODE CURL-ARGUMENT...: HTTP status, error code
  local status="$1" code="$2" got
  shift 2
  got="$(curl -s -m 5 -w ' %{http_code}' "$@" || true)"
  case "$got" in
    *"\"code\":\"$code\""*" $status") echo "ok: $status $code" ;;
    *) fail "expected $status $code, got: $got" ;;
  esac
}
expect_exit() {  # expect_exit CODE TEXT COMMAND...: exit code, part of output
  local code="$1" text="$2" got=0
  shift 2
  timeout 15 "$@" >"$RUN/exit.txt" 2>&1 || got="$?"
  [ "$got" -eq "$code" ] || fail "$*: exit code $got instead of $code"
  grep -q "$text" "$RUN/exit.txt" || fail "$*: output does not contain \"$text\""
  echo "ok: exit $code $text"
}
send_bytes() {  # send_bytes ADDRESS: sends standard input over TCP
  cat >"/dev/tcp/${1%:*}/${1#*:}" 2>/dev/null || true
}

OPERATE=("$BUILD/bronzebarrow" --control "$CONTROL_ADDRESSES")

start_group
apply_lists
wait_for_instances 50
new_key() {  # an idempotency key with the layout of a version 7 UUID
  printf '%012x' "$(date +%s%3N)" |
    sed "s/\(.\{8\}\)\(.*\)/\1-\2-7000-8000-$(od -An -N6 -tx1 /dev/urandom |
      tr -d ' \n')/"
}

echo "== callers"
D="Bronzebarrow-Deadline-Ms: 2000"
P="Bronzebarrow-Plan: $PLAN"
expect 400 plan_missing -H "$D" "$ENTRY/x"
expect 403 plan_unknown -H "$D" -H "Bronzebarrow-Plan: nobody" "$ENTRY/x"
expect 403 plan_unknown -H "$D" -H "Bronzebarrow-Plan: a b\"" "$ENTRY/x"
expect 403 pool_unknown -H "$D" -H "$P" -H "Bronzebarrow-Pool: none" "$ENTRY/x"
expect 400 deadline_invalid -H "$P" "$ENTRY/x"
expect 400 deadline_invalid -H "$P" -H "Bronzebarrow-Deadline-Ms: -1" "$ENTRY/x"
expect 400 key_missing -X POST -H "$P" -H "$D" -d x "$ENTRY/x"
expect 400 key_invalid -X POST -H "$P" -H "$D" -H "Idempotency-Key: 7" -d x "$ENTRY/x"
head -c 1100000 /dev/zero >"$RUN/large"
expect 413 request_too_large -X POST -H "$P" -H "$D" --data-binary "@$RUN/large" "$ENTRY/x"
expect 431 request_too_large -H "X: $(head -c 20000 /dev/zero | tr '\0' a)" "$ENTRY/x"
expect 414 request_too_large "$ENTRY/$(head -c 20000 /dev/zero | tr '\0' a)"
key="$(new_key)"
curl -s -m 5 -o /dev/null -X POST -H "$P" -H "$D" -H "Idempotency-Key: $key" \
  -d one "$ENTRY/x"
expect 422 key_reused -X POST -H "$P" -H "$D" -H "Idempotency-Key: $key" -d two "$ENTRY/x"
for bytes in 'GET' 'BLAH /\r\n\r\n' 'GET / HTTP/9.9\r\n\r\n' '\x00\x01\x02\r\n\r\n'; do
  printf "$bytes" | send_bytes "$(setting e1 http)"
done

echo "== targets"
expect 400 request_malformed -X POST -d '{' "$ENTRY/v1/announce"
expect 400 request_malformed -X POST -d '{"instance":"a"}' "$ENTRY/v1/announce"
expect 400 request_malformed -X POST -d '{"instance":"a","pool":"p","zone":"z",
  "rack":"r","host":"127.0.0.1","port":70000}' "$ENTRY/v1/announce"

echo "== operators"
LEADER="http://$(setting "$(leader)" http)"
expect 400 request_malformed -X POST -d 'nonsense' "$LEADER/v1/stop"
expect 400 usage -X POST -d '{}' "$LEADER/v1/stop"
expect 409 instance_unknown -X POST -d '{"stop_id":"s","instance":"ghost"}' "$LEADER/v1/stop"
expect 409 stop_unknown -X POST -d '{"stop_id":"ghost"}' "$LEADER/v1/stop/cancel"
expect 409 pool_unknown -X POST -d '{"wave_id":"w","pool":"ghost"}' "$LEADER/v1/wave"
expect 409 wave_unknown -X POST -d '{"wave_id":"g","action":"halt"}' "$LEADER/v1/wave/update"
expect 405 request_malformed "$LEADER/v1/stop"
expect_exit 2 usage "${OPERATE[@]}" nonsense
expect_exit 2 usage "${OPERATE[@]}" stop
sed 's/^class = .*/class = sometimes/' "examples/$EXAMPLE/plans.ini" >"$RUN/bad.ini"
expect_exit 3 "line 4" "${OPERATE[@]}" apply "$RUN/bad.ini" "examples/$EXAMPLE/uses.ini"
[ "$(status_number config_version)" -eq 1 ] || fail "an invalid list changed the version"
expect_exit 1 version_conflict "${OPERATE[@]}" --expect 7 apply \
  "examples/$EXAMPLE/plans.ini" "examples/$EXAMPLE/uses.ini"

echo "== invalid frames"
for name in c1 c2 c3 e1 e2; do
  for _ in 1 2 3; do
    head -c 4000 /dev/urandom | send_bytes "$(setting "$name" listen)"
    printf '\xff\xff\xff\xff' | send_bytes "$(setting "$name" listen)"
    { printf '\x40\x00\x00\x00'; head -c 64 /dev/urandom; } |
      send_bytes "$(setting "$name" listen)"
    printf '\x00\x00\x00\x00' | send_bytes "$(setting "$name" listen)"
  done
done
grep -q "code=frame_too_large" "$RUN/c1.log" || fail "c1 did not log frame_too_large"
grep -q "code=frame_invalid" "$RUN/c1.log" || fail "c1 did not log frame_invalid"

echo "== settings and data folders"
head -c 190 "examples/$EXAMPLE/c1.ini" >"$RUN/cut.ini"
expect_exit 3 settings_truncated "$BUILD/bronzebarrow-control" --settings "$RUN/cut.ini"
sed '$d' "examples/$EXAMPLE/c1.ini" >"$RUN/cut.ini"
expect_exit 3 settings_truncated "$BUILD/bronzebarrow-control" --settings "$RUN/cut.ini"
sed '$d' "examples/$EXAMPLE/e1.ini" >"$RUN/cut.ini"
expect_exit 3 settings_truncated "$BUILD/bronzebarrow-entry" --settings "$RUN/cut.ini"
expect_exit 3 settings_unreadable "$BUILD/bronzebarrow-entry" --settings "$RUN/none.ini"
expect_exit 4 data_folder_in_use "$BUILD/bronzebarrow-control" \
  --settings "examples/$EXAMPLE/c1.ini"
kill_process c2
expect_exit 4 data_folder_not_empty "$BUILD/bronzebarrow-control" \
  --settings "examples/$EXAMPLE/c2.ini" --initialize
sed "s#run/$EXAMPLE/c1#run/$EXAMPLE/c2#" "examples/$EXAMPLE/c1.ini" >"$RUN/foreign.ini"
expect_exit 4 data_folder_foreign "$BUILD/bronzebarrow-control" --settings "$RUN/foreign.ini"
start_control c2

echo "== still serving"
for name in $ENTRIES; do
  got="$(curl -s -m 5 -o /dev/null -w '%{http_code}' -H "$P" -H "$D" \
    "http://$(setting "$name" http)/after")"
  [ "$got" = 200 ] || fail "$name returned status $got"
done
# One listed process has exited: c2, which was killed above and restarted.
while read -r pid; do
  kill -0 "$pid" 2>/dev/null || exited_pids="${exited_pids:-} $pid"
done <"$RUN/pids"
[ "$(echo "${exited_pids:-}" | wc -w)" -le 1 ] || fail "processes exited:$exited_pids"
if grep -h invariant_broken "$RUN"/*.log; then fail "an invariant was broken"; fi
echo "all checks passed"
