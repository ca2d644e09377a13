#!/usr/bin/env bash
# Measures the costs per unit of load (slopes) that docs/CAPACITY.md is based on
# and writes them as CSV.
#   scripts/measure.sh [--seed N] [--out FILE] [--user oficina|union]
# bronzebarrow-slopes measures the costs within one process. The cost of the
# control plane on each node is computed from the metrics of its processes: idle,
# under load, and while configuration changes are applied.
set -euo pipefail
cd "$(dirname "$0")/.."
SEED=1
OUT=run/measure.csv
EXAMPLE=oficina
while [ "$#" -gt 0 ]; do
  case "$1" in
    --seed) SEED="$2"; shift 2 ;;
    --out) OUT="$2"; shift 2 ;;
    --user) EXAMPLE="$2"; shift 2 ;;
    *) echo "usage: $0 [--seed N] [--out FILE] [--user NAME]" >&2; exit 2 ;;
  esac
done
BUILD=build
scripts/build.sh >/dev/null
mkdir -p "$(dirname "$OUT")"
. scripts/lib/group.sh
trap stop_group EXIT

IDLE_SECONDS=15
LOAD_SECONDS=15
LARGE_FLEET=34  # targets in each of the five pools
BURST=100

"$BUILD/bronzebarrow-slopes" --seed "$SEED" >"$OUT"
write_row() { echo "$1,$2,$3,$4" >>"$OUT"; }

read_metric() {  # read_metric NAME METRIC: the value of a metric of one process
  curl -s -m 2 "http://$(setting "$1" http)/metrics" | sed -n "s/^$2 //p"
}
calc() { awk "BEGIN { printf \"%.6g\", $1 }"; }

declare -A cpu sent received
store_usage() {  # stores the CPU time and the frame bytes of each node
  local name
  for name in $CONTROLS $ENTRIES; do
    cpu[$name]="$(read_metric "$name" process_cpu_seconds_total)"
    sent[$name]="$(read_metric "$name" bronzebarrow_frame_bytes_sent_total)"
    received[$name]="$(read_metric "$name" bronzebarrow_frame_bytes_received_total)"
  done
}
# report_usage LABEL DIVISOR UNIT: writes the CPU time and the frame bytes that
# each node used since the last store_usage, divided by DIVISOR.
report_usage() {
  local name now_cpu now_bytes
  for name in $CONTROLS $ENTRIES; do
    now_cpu="$(read_metric "$name" process_cpu_seconds_total)"
    now_bytes="$(read_metric "$name" bronzebarrow_frame_bytes_sent_total) + \
      $(read_metric "$name" bronzebarrow_frame_bytes_received_total)"
    write_row "$1_cpu_$name" "$2" "$(calc "1e3 * ($now_cpu - ${cpu[$name]}) / $2")" \
      "ms/$3"
    write_row "$1_bytes_$name" "$2" \
      "$(calc "($now_bytes - ${sent[$name]} - ${received[$name]}) / $2")" \
      "bytes/$3"
  done
}
# apply_changes COUNT FOLDER: applies the lists in FOLDER COUNT times in sequence,
# each time with another quota, and records how long each change takes to be
# accepted.
apply_changes() {
  local i version
  version="$(status_number config_version)"
  for i in $(seq 1 "$1"); do
    sed "s/^quota = .*/quota = $((80 + i % 20))/" "$2/plans.ini" \
      >"$RUN/plans.ini"
    local begun ended
    begun="$(date +%s%N)"
    operate --expect "$version" apply "$RUN/plans.ini" "$2/uses.ini" >/dev/null
    ended="$(date +%s%N)"
    echo "$(((ended - begun) / 1000))" >>"$RUN/accept_us.txt"
    version=$((version + 1))
  done
}
# percentile FILE FRACTION: the FRACTION quantile of the numbers in FILE
percentile() { sort -n "$1" | awk -v p="$2" '{ v[NR] = $1 }
  END { i = int(p * (NR - 1)) + 1; print v[i] }'; }

start_group
apply_lists >/dev/null
wait_for_instances 50
sleep 5

echo "idle for $IDLE_SECONDS s" >&2
store_usage
sleep "$IDLE_SECONDS"
report_usage idle "$IDLE_SECONDS" s
for name in $CONTROLS $ENTRIES; do
  write_row "idle_memory_$name" 50 \
    "$(read_metric "$name" process_resident_memory_bytes)" bytes
done

echo "load for $LOAD_SECONDS s" >&2
keys_before="$(status_number ledger_keys)"
store_usage
load "$LOAD_SECONDS" "$SEED" >"$RUN/load.txt"
keys=$(($(status_number ledger_keys) - keys_before))
report_usage keyed_request "$keys" request

echo "a burst of $BURST changes of 5 plans" >&2
store_usage
apply_changes "$BURST" "examples/$EXAMPLE"
report_usage change_of_5_plans "$BURST" change
write_row accept_p50 "$BURST" "$(percentile "$RUN/accept_us.txt" 0.5)" us
write_row accept_p99 "$BURST" "$(percentile "$RUN/accept_us.txt" 0.99)" us
rm "$RUN/accept_us.txt"

echo "a burst of $BURST changes of 430 plans" >&2
mkdir -p "$RUN/large"
for i in $(seq 1 425); do
  pool="$(setting load pools | cut -d, -f$((i % 5 + 1)) | tr -d ' ')"
  printf '[team-%s]\nclass = normal\npool = %s\nquota = 80\n\n' "$i" "$pool" \
    >>"$RUN/large/plans.ini"
  printf '[team-%s/%s]\nzones = any\nracks = any\nfloor = 1\nsurvive = none\n\n' \
    "$i" "$pool" >>"$RUN/large/uses.ini"
done
cat "examples/$EXAMPLE/plans.ini" >>"$RUN/large/plans.ini"
cat "examples/$EXAMPLE/uses.ini" >>"$RUN/large/uses.ini"
store_usage
apply_changes "$BURST" "$RUN/large"
report_usage change_of_430_plans "$BURST" change
write_row accept_430_p50 "$BURST" "$(percentile "$RUN/accept_us.txt" 0.5)" us
write_row accept_430_p99 "$BURST" "$(percentile "$RUN/accept_us.txt" 0.99)" us
for name in $CONTROLS $ENTRIES; do
  write_row "memory_430_plans_$name" 430 \
    "$(read_metric "$name" process_resident_memory_bytes)" bytes
done

echo "time from kill -9 of the leader to the next accepted change, 5 times" >&2
for i in 1 2 3 4 5; do
  victim="$(leader)"
  version="$(status_number config_version)"
  kill_process "$victim"
  begun="$(date +%s%N)"
  operate --expect "$version" apply "examples/$EXAMPLE/plans.ini" \
    "examples/$EXAMPLE/uses.ini" >/dev/null
  write_row leader_kill_to_accept "$i" \
    "$((($(date +%s%N) - begun) / 1000000))" ms
  start_control "$victim"
  sleep 4
done

echo "idle for $IDLE_SECONDS s with a larger fleet" >&2
signal_process targets TERM
sleep 2
sed "s/^targets_per_pool = .*/targets_per_pool = $LARGE_FLEET/" \
  "examples/$EXAMPLE/load.ini" >"$RUN/large-fleet.ini"
start_process targets "$BUILD/bronzebarrow-load" \
  --settings "$RUN/large-fleet.ini" targets
wait_for_instances $((5 * LARGE_FLEET))
sleep 5
store_usage
sleep "$IDLE_SECONDS"
report_usage "idle_$((5 * LARGE_FLEET))_targets" "$IDLE_SECONDS" s

echo "written: $OUT" >&2
