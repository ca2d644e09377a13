#!/usr/bin/env bash
# Keys of organisations through real processes: three members and an entry. A key
# that a configuration takes away stays away through a kill of the leader and a
# member that starts again from its data; jobs stay with their key when its name goes to
# another customer; no key stands in a log or a metric.
set -euo pipefail
. "$(dirname "$0")/platform_processes.sh"

for i in 1 2 3; do start "m$i" member "127.0.0.$i" true; done
start e1 entry 127.0.0.4 true

fail() { echo "FAILED: $*"; tail -n 5 "$folder"/*.log; exit 1; }
put_config() { # put_config VERSION KEYS [NAME KEYS-OF-ANOTHER-ONE]
  local body other=""
  [ -z "${4:-}" ] || other=",{\"name\":\"a\",\"api_keys\":[$4],\"weight\":1}"
  body="{\"version\":$1,\"routes\":[{\"name\":\"r\",\"host\":\"q.example\",\"path_prefix\":\"/q/\",
    \"timeout_ms\":3000,\"service\":\"s\",\"attempts\":2,\"slack_factor\":1.6,\"target_duration_ms\":600}],
    \"services\":[{\"name\":\"s\"}],
    \"tenants\":[{\"name\":\"${3:-a}\",\"api_keys\":[$2],\"weight\":1,\"cap\":{\"cpu\":1000}}$other]}"
  for _ in $(seq 100); do
    for i in 1 2 3; do
      [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -d "$body" \
        "http://127.0.0.$i:21003/v1/config/put")" = 200 ] && return
    done
    sleep 0.1
  done
  fail "version $1 is not accepted"
}
# The status of a call, when the entry and the members have one.
call() { # call METHOD PATH KEY [BODY]
  local status
  for _ in $(seq 100); do
    status="$(curl -s -m 4 -o "$folder/answer" -w '%{http_code}' -X "$1" -H 'Host: q.example' \
      ${3:+-H "Authorization: Bearer $3"} ${4:+-d "$4"} "http://127.0.0.4:21001$2" || true)"
    case "$status" in 000 | 503 | 504) sleep 0.1 ;; *) echo "$status"; return ;; esac
  done
  echo "$status"
}
expect() { # expect STATUS WHAT METHOD PATH KEY [BODY]
  local status="$1" what="$2" got
  shift 2
  got="$(call "$@")"
  [ "$got" = "$status" ] || fail "$what: $got instead of $status"
  echo "ok: $what: $status"
}
job='{"spec":"s","steps":[{"count":1,"cpu":100,"mem_mb":1,"estimate_ms":100}]}'
first=/q/5c0e7a21d94b36f8
second=/q/5c0e7a21d94b36f9
old=secretoldkey
new=secretnewkey

put_config 2 "\"$old\",\"$new\""
expect 401 "no key" POST "$first" "" "$job"
expect 401 "an unknown key" POST "$first" secretother "$job"
expect 410 "the refused job" GET "$first" "$old"
expect 200 "a known key" POST "$first" "$old" "$job"
put_config 3 "\"$new\""
expect 401 "the revoked key" GET "$first" "$old"
expect 200 "the other key" GET "$first" "$new"

leader_name="$(leader)"
[ -n "$leader_name" ] || fail "no member is the leader"
kill -9 "${pid_of[$leader_name]}"
expect 401 "the revoked key after the leader's end" POST "$second" "$old" "$job"
expect 200 "the other key after the leader's end" POST "$second" "$new" "$job"
start "$leader_name" member "127.0.0.${leader_name#m}" false
sleep 2
put_config 2 "\"$old\",\"$new\""
next="$(leader)"
kill -9 "${pid_of[$next]}"
expect 401 "the revoked key after a restart" GET "$first" "$old"
expect 200 "the other key after a restart" GET "$first" "$new"

put_config 4 "\"$new\"" b '"secretofanotherone"'
expect 410 "a job of the customer that had the name before" GET "$first" secretofanotherone
expect 200 "the job under the new name" GET "$first" "$new"

for name in m1 m2 m3; do
  curl -s -m 1 "http://127.0.0.${name#m}:9464/metrics" >>"$folder/metrics" || true
done
curl -s -m 1 "http://127.0.0.4:9464/metrics" >>"$folder/metrics"
if grep -l "secret" "$folder"/*.log "$folder/metrics"; then fail "a key was written"; fi
echo "no key in logs or metrics"
