# Functions of the tests that run the users' platform on loopback: members and an
# entry as separate processes. To be sourced. A non-empty KEEP keeps the folder of
# settings, data and logs.
build="${BUILD:-$(dirname "$0")/../build}"
folder="$(mktemp -d)"
pids=()
declare -A pid_of
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
${extra_settings:-}
YAML
  BRONZEBARROW_NODE_FILE="$folder/$1.yaml" \
    "$build/bronzebarrow-platform" "$2" 9464 >>"$folder/$1.log" 2>&1 &
  pids+=($!)
  pid_of[$1]=$!
}
leader() { # the name of the member that leads; empty if none does
  local name metrics
  for name in m1 m2 m3; do
    [ -n "${pid_of[$name]}" ] || continue
    # Read as a whole: curl fails if grep ends before it has written all.
    metrics="$(curl -s -m 1 "http://127.0.0.${name#m}:9464/metrics")" || continue
    if grep -q '^bronzebarrow_leading 1' <<<"$metrics"; then
      echo "$name"
      return
    fi
  done
}
