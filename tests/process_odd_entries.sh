#!/usr/bin/env bash
# Odd entries of another writer beside those of the runners: heartbeats under ids
# of their own and of a live runner, and rows of the list of machines. The leader
# is killed after them. No other process may end, the list must be read, each
# runner must get tasks, and each job must complete.
set -euo pipefail
. "$(dirname "$0")/platform_processes.sh"
extra_settings='cloud_api: {address: "127.0.0.5:21004", rate_per_s: 64, duties: [], duty_per_s: 64}'
runners=6

beat() { # beat BORN SEQ CPU PORT LABELS: a heartbeat as the stand-in's runner-0
  printf '{"service":"pool-0","address":"127.0.0.1:%s","zone":"z","state":"ready",' "$4"
  printf '"machine":"m-0","capacity":{"cpu":%s,"mem_mb":131072,"gpu":0},' "$3"
  printf '"labels":%s,"clock_ms":5,"born":%s,"seq":%s}' "$5" "$1" "$2"
}
deep="$(printf '[%.0s' $(seq 900))$(printf ']%.0s' $(seq 900))"
odd_bodies=(
  "$(beat 4611686018427387904 1 32000 22000 '["a"]')"
  "$(beat 18446744073709551616 1 32000 22000 '["a"]')"
  "$(beat 1 9223372036854775808 32000 22000 '["a"]')"
  "$(beat 1 1 4294967295 22000 '["a"]')"
  "$(beat 1 1 1e308 22000 '["a"]')"
  "$(beat 1 1 1e999 22000 '["a"]')"
  "$(beat 1 1 32000 70000 '["a"]')"
  "$(beat 1 1 32000 -1 '["a"]')"
  "$(beat 1 1 32000 22000 "$deep")"
  "$(beat 1 1 32000 22000 '[7]')"
  '{"service":7}' '[]' '{"service"' $'{"service":"\xff"}'
)

for i in 1 2 3; do start "m$i" member "127.0.0.$i" true; done
start e1 entry 127.0.0.4 true
"$build/platform_standin" --front=127.0.0.4:21001 --runners="$runners" --seconds=12 \
  --jobs_per_s=7 --task_milli=8000 --inventory=127.0.0.5:21004 \
  --controls=127.0.0.1:21003,127.0.0.2:21003,127.0.0.3:21003 "$@" \
  >"$folder/standin.txt" &
standin=$!
sleep 3
for i in 1 2 3; do
  for id in runner-0 odd; do
    for body in "${odd_bodies[@]}"; do
      status="$(curl -s -m 2 -o /dev/null -w '%{http_code}' --data-binary "$body" \
        "http://127.0.0.$i:21003/v1/instances/$id/heartbeat" || true)"
      if [ "$status" != 400 ]; then
        echo "m$i answered $status to a heartbeat of $id: ${body:0:200}"
        kill "$standin"
        exit 1
      fi
    done
  done
done
leader_name="$(leader)"
[ -n "$leader_name" ] || { echo "no member is the leader"; kill "$standin"; exit 1; }
kill -9 "${pid_of[$leader_name]}"
echo "killed the leader, $leader_name"
result=0
wait "$standin" || result=$?
cat "$folder/standin.txt"
if ! grep -q "used_late=$runners" "$folder/standin.txt"; then
  echo "a runner got no more tasks"
  result=1
fi
for name in m1 m2 m3 e1; do
  if [ "$name" != "$leader_name" ] && ! kill -0 "${pid_of[$name]}"; then
    echo "$name has ended"
    result=1
  fi
done
if ! grep -q "machines_listed=$runners" "$folder"/m?.log; then
  echo "the list of machines was not read"
  result=1
fi
exit "$result"
