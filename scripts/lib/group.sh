# Starts and stops the processes of one example on loopback. Sourced by scripts
# that set BUILD (the build folder) and EXAMPLE (oficina or union).
# The id of every started process is written to $RUN/pids; stop_group uses these
# ids to end the processes.

RUN="run/$EXAMPLE"
CONTROLS="c1 c2 c3"
ENTRIES="e1 e2 e3 e4 e5 e6"

setting() {  # setting FILE KEY: the value of KEY in FILE.ini of the example
  sed -n "s/^$2 = //p" "examples/$EXAMPLE/$1.ini" | head -n 1
}

CONTROL_ADDRESSES="$(setting c1 http),$(setting c2 http),$(setting c3 http)"

start_process() {  # start_process NAME COMMAND...: runs COMMAND in the background
  local name="$1"
  shift
  "$@" >>"$RUN/$name.log" 2>&1 </dev/null &
  echo "$!" >"$RUN/$name.pid"
  echo "$!" >>"$RUN/pids"
}

start_control() {
  start_process "$1" "$BUILD/bronzebarrow-control" \
    --settings "examples/$EXAMPLE/$1.ini"
}

start_entry() {
  start_process "$1" "$BUILD/bronzebarrow-entry" \
    --settings "examples/$EXAMPLE/$1.ini"
}

start_targets() {
  start_process targets "$BUILD/bronzebarrow-load" \
    --settings "examples/$EXAMPLE/load.ini" targets
}

signal_process() {  # signal_process NAME SIGNAL
  kill -s "$2" "$(cat "$RUN/$1.pid")"
}

kill_process() {  # kill_process NAME: sends SIGKILL and waits for the exit
  local pid
  pid="$(cat "$RUN/$1.pid")"
  kill -s KILL "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
}

start_group() {
  rm -rf "$RUN"
  mkdir -p "$RUN"
  local name
  for name in $CONTROLS; do
    "$BUILD/bronzebarrow-control" --settings "examples/$EXAMPLE/$name.ini" \
      --initialize
  done
  for name in $CONTROLS; do start_control "$name"; done
  for name in $ENTRIES; do start_entry "$name"; done
  start_targets
}

# Sends SIGTERM to every started process and, after at most 10 s in all, SIGKILL
# to those still running. SIGCONT comes first, so that suspended processes handle
# SIGTERM.
stop_group() {
  [ -f "$RUN/pids" ] || return 0
  local pid
  while read -r pid; do
    kill -s CONT "$pid" 2>/dev/null || true
    kill -s TERM "$pid" 2>/dev/null || true
  done <"$RUN/pids"
  local waited=0
  while read -r pid; do
    while kill -0 "$pid" 2>/dev/null && [ "$waited" -lt 100 ]; do
      sleep 0.1
      waited=$((waited + 1))
    done
    kill -s KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done <"$RUN/pids"
  rm -f "$RUN/pids"
}

operate() {  # operate COMMAND...: runs a command of the operators' program
  "$BUILD/bronzebarrow" --control "$CONTROL_ADDRESSES" "$@"
}

load() {  # load SECONDS SEED: runs callers and checks their answers
  "$BUILD/bronzebarrow-load" --settings "examples/$EXAMPLE/load.ini" \
    --seconds "$1" --seed "$2" run
}

apply_lists() {
  operate apply "examples/$EXAMPLE/plans.ini" "examples/$EXAMPLE/uses.ini" "$@"
}

status_number() {  # status_number KEY: a top-level number of the group's status
  operate --json status | python3 -c '
import json, sys
value = json.load(sys.stdin).get(sys.argv[1])
print("" if value is None else value)' "$1"
}

entry_versions() {  # the configuration version of each entry, one per line
  operate --json status | python3 -c '
import json, sys
for entry in json.load(sys.stdin)["entries"]:
    print(entry["config_version"])'
}

# check_example NAME SEED: exits if NAME is unknown or SEED is not a number
check_example() {
  if [ ! -d "examples/$1" ]; then
    echo "unknown example \"$1\": $(ls examples | tr '\n' ' ')" >&2
    exit 2
  fi
  case "$2" in
    '' | *[!0-9]*) echo "the seed \"$2\" is not a number" >&2; exit 2 ;;
  esac
}

# The name of the control member that leads.
leader() { operate --json status | sed -n 's/.*"leader":"\([a-z0-9]*\)".*/\1/p'; }

wait_for_instances() {  # wait_for_instances COUNT: until COUNT are in service
  local tries=0
  while [ "$(operate --json status | grep -o '"state":"in-service"' | wc -l)" \
      -lt "$1" ]; do
    tries=$((tries + 1))
    if [ "$tries" -gt 150 ]; then
      echo "instances did not come into service" >&2
      return 1
    fi
    sleep 0.2
  done
}
