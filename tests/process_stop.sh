#!/usr/bin/env bash
# Signals to the platform's processes. One that is stopped with requests in
# progress answers each of them, or refuses its connection; one that is told to
# reload while it starts does so. A non-empty KEEP keeps the folder of settings,
# data and logs.
set -euo pipefail
build="${BUILD:-$(dirname "$0")/../build}"
folder="$(mktemp -d)"
pids=()
clean_up() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  [ -n "${KEEP:-}" ] || rm -rf "$folder"
}
trap clean_up EXIT

# The addresses of the seeds have no process, so that no leader is known and each
# call lasts as long as it may.
write_settings() { # write_settings NAME ADDRESS
  mkdir -p "$folder/$1.data"
  cat >"$folder/$1.yaml" <<YAML
node_name: "$1"
ip: "$2"
zone: "z"
listen: {front: "$2:21001", readiness: "$2:21002", control: "$2:21003"}
port_range: [21010, 21025]
seeds: ["127.7.0.1:21003", "127.7.0.2:21003", "127.7.0.3:21003"]
bootstrap: true
data_dir: "$folder/$1.data"
fault_tolerance: {machines: 1, zones: 0, regions: 0}
limits: {max_fds: 4096}
bounds: {grace_s: 6}
YAML
}
start() { # start NAME ROLE ADDRESS
  write_settings "$1" "$3"
  BRONZEBARROW_NODE_FILE="$folder/$1.yaml" \
    "$build/bronzebarrow-platform" "$2" 9464 >>"$folder/$1.log" 2>&1 &
  pids+=($!)
  pid_of[$1]=$!
}
await_port() { # await_port URL
  for _ in $(seq 100); do
    curl -s -m 1 -o /dev/null "$1" && return
    sleep 0.05
  done
  echo "no process listens at $1"
  exit 1
}
# Sends requests one after the other until a connection is refused, and writes
# the exit status of each curl.
ask_until_refused() { # ask_until_refused FILE CURL_ARGUMENT...
  local file="$1" status=0
  shift
  while [ "$status" != 7 ]; do
    status=0
    curl -s -m 8 -o /dev/null "$@" || status=$?
    echo "$status" >>"$file"
  done
}
expect_answers() { # expect_answers WHAT FILE
  local answered refused all bad
  all="$(wc -l <"$2")"
  answered="$(awk '$1 == 0' "$2" | wc -l)"
  refused="$(awk '$1 == 7' "$2" | wc -l)"
  bad=$((all - answered - refused))
  echo "$1: $answered requests answered, $bad cut"
  # A process that ended before it answered anything shows nothing.
  [ "$answered" -gt 0 ] && [ "$bad" = 0 ] || { sort "$2" | uniq -c; exit 1; }
}
declare -A pid_of

# An entry is stopped while calls wait for a leader.
start e1 entry 127.7.0.4
await_port http://127.7.0.4:21002/v1/ready
clients=()
for client in $(seq 10); do
  ask_until_refused "$folder/entry.txt" \
    http://127.7.0.4:21001/queue/5c0e7a21d94b36f8 &
  clients+=($!)
  sleep 0.2
done
kill -TERM "${pid_of[e1]}"
wait "${clients[@]}"
wait "${pid_of[e1]}"
expect_answers "stop of an entry" "$folder/entry.txt"

# A member that knows no leader is stopped while it has requests.
start m5 member 127.7.0.5
await_port http://127.7.0.5:21003/v1/unknown
clients=()
for client in $(seq 6); do
  ask_until_refused "$folder/member.txt" http://127.7.0.5:21003/v1/config/get &
  clients+=($!)
  sleep 0.1
done
kill -TERM "${pid_of[m5]}"
wait "${clients[@]}"
wait "${pid_of[m5]}"
expect_answers "stop of a member" "$folder/member.txt"

# SIGHUP arrives while a process still reads its settings.
send_settings() {
  timeout 10 bash -c 'cat "$1.yaml" >"$1.fifo"' _ "$folder/e6" ||
    { echo "the settings were not read"; exit 1; }
}
await_event() { # await_event PATTERN
  for _ in $(seq 100); do
    grep -q "$1" "$folder/e6.log" && return
    sleep 0.05
  done
  echo "not logged: $1"
  exit 1
}
write_settings e6 127.7.0.6
mkfifo "$folder/e6.fifo"
BRONZEBARROW_NODE_FILE="$folder/e6.fifo" \
  "$build/bronzebarrow-platform" entry 9464 >>"$folder/e6.log" 2>&1 &
pids+=($!)
pid_of[e6]=$!
sleep 1
kill -HUP "${pid_of[e6]}"
sleep 0.1
kill -0 "${pid_of[e6]}" 2>/dev/null ||
  { echo "a reload during the start ended the process"; exit 1; }
# Each read of the settings takes what one writer sends.
send_settings
await_event process_started
send_settings
await_event 'settings_reloaded.*cause=.*signal'
echo "reload during the start: settings read again"
