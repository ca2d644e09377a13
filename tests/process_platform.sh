#!/usr/bin/env bash
# The users' platform on loopback: three members and an entry as separate
# processes, and a stand-in for runners, operator and callers. The leader is
# killed while jobs run; each job must complete, and no task may run twice.
# Arguments are passed to the stand-in. KILL=0 skips the kill of the leader; with
# it, PROFILE=FILE records a profile of the leader's processor time.
set -euo pipefail
. "$(dirname "$0")/platform_processes.sh"

# `check` only validates a settings file. It must reject an invalid or missing one
# with a message.
printf 'node_name: "x"\nip: "127.0.0.1"\n' >"$folder/short.yaml"
printf 'node_name: [\n' >"$folder/broken.yaml"
for bad in short broken missing; do
  if "$build/bronzebarrow-platform" check "$folder/$bad.yaml" \
    >"$folder/check.txt" 2>&1; then
    echo "check accepted bad settings: $bad"
    exit 1
  fi
  [ -s "$folder/check.txt" ] || { echo "check printed no error: $bad"; exit 1; }
done
for i in 1 2 3; do start "m$i" member "127.0.0.$i" true; done
start e1 entry 127.0.0.4 true
"$build/bronzebarrow-platform" check "$folder/m1.yaml"

"$build/platform_standin" --front=127.0.0.4:21001 \
  --controls=127.0.0.1:21003,127.0.0.2:21003,127.0.0.3:21003 "$@" &
standin=$!
sleep 3
if [ "${KILL:-1}" = 1 ]; then
  leader_name="$(leader)"
  [ -n "$leader_name" ] || { echo "no member is the leader"; kill "$standin"; exit 1; }
  kill -9 "${pid_of[$leader_name]}"
  echo "killed the leader, $leader_name"
  sleep 2
  start "$leader_name" member "127.0.0.${leader_name#m}" false
elif [ -n "${PROFILE:-}" ]; then
  perf record -q -g -o "$PROFILE" -p "${pid_of[$(leader)]}" -- sleep 4
fi
result=0
wait "$standin" || result=$?
for name in m1 m2 m3; do
  ticks="$(cut -d' ' -f14,15 "/proc/${pid_of[$name]}/stat")"
  echo "$name processor ticks, user and system: $ticks"
done
exit "$result"
