#!/usr/bin/env bash
# The users' platform on loopback: three members and an entry as separate
# processes, and a stand-in for runners, operator and callers. The leader is
# killed while jobs run; each job must complete, and no task may run twice.
# Arguments are passed to the stand-in. KILL=0 skips the kill of the leader; with
# it, PROFILE=FILE records a profile of the leader's processor time. A non-empty
# KEEP keeps the folder of settings, data and logs.
set -euo pipefail
build="${BUILD:-$(dirname "$0")/../build}"
folder="$(mktemp -d)"
pids=()
clean_up() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  [ -n "${KEEP:-}" ] || rm -rf "$folder"
}
trap clean_up EXIT

# Each process has its own loopback address, so that all use the same ports, as on
# the platform.
start() { # start NAME ROLE ADDRESS BOOTSTRAP
  mkdir -p "$folder/$1.data"
  cat >"$folder/$1.yaml" <<YAML
node_name: "$1"
ip: "$3"
zone: "z"
listen: {front: "$3:21001", readiness: "$3:21002", control: "$3:21003"}
port_range: [21010, 21025]
seeds: ["127.0.0.1:21003", "127.0.0.2:21003", "127.0.0.3:21003"]
bootstrap: $4
data_dir: "$folder/$1.data"
fault_tolerance: {machines: 1, zones: 0, regions: 0}
limits: {max_fds: 4096}
bounds: {grace_s: 6}
YAML
  BRONZEBARROW_NODE_FILE="$folder/$1.yaml" \
    "$build/bronzebarrow-platform" "$2" 9464 >>"$folder/$1.log" 2>&1 &
  pids+=($!)
  pid_of[$1]=$!
}
leader() { # the name of the member that leads; empty if none does
  local name
  for name in m1 m2 m3; do
    [ -n "${pid_of[$name]}" ] || continue
    if curl -s -m 1 "http://127.0.0.${name#m}:9464/metrics" |
      grep -q '^bronzebarrow_leading 1'; then
      echo "$name"
      return
    fi
  done
}
declare -A pid_of

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
