# Functions to run a small fleet on loopback as separate processes. Sourced by
# demo.sh and measure.sh, from the root of the repository.

export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
go build -o bin/ ./wisteriarouter ./wisteriactl ./standin

dir=$(mktemp -d)
declare -A pids

# stop_all ends what this script started, and nothing else.
stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -TERM "${pids[$name]}" 2>/dev/null || true
  done
  for name in "${!pids[@]}"; do
    wait "${pids[$name]}" 2>/dev/null || true
  done
}

finish() {
  local status=$?
  if [ "${keep:-no}" = yes ] && [ $status -eq 0 ]; then
    return
  fi
  stop_all
  if [ $status -ne 0 ]; then
    echo "failed with status $status; last lines of each log:" >&2
    tail -n 5 "$dir"/*.log >&2 || true
  fi
  rm -rf "$dir"
}
trap finish EXIT

# start NAME COMMAND... runs a process in the background.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids[$name]=$!
}

# await FILE waits until a process has written its address there.
await() {
  for _ in $(seq 200); do
    if [ -s "$1" ]; then
      return
    fi
    sleep 0.05
  done
  echo "$1 did not appear" >&2
  exit 1
}

# stop NAME stops one process gracefully and tells its exit status.
stop() {
  local status=0
  kill -TERM "${pids[$1]}"
  wait "${pids[$1]}" || status=$?
  unset "pids[$1]"
  echo "$1 stopped gracefully: exit status $status"
  return $status
}

zones=(a b c)

# Ports from a range below those that the system gives out by itself. A router
# needs to know its seeds' ports before they are bound.
base=$((20000 + RANDOM % 11000))

# router N LISTENER prints an address of router N: 0 callers, 1 operators, 2 peers.
router() { echo "127.0.0.1:$((base + $1 * 10 + $2))"; }

start_platform() {
  start platform bin/standin platform -addr-file "$dir/platform.addr"
  await "$dir/platform.addr"
  platform=$(cat "$dir/platform.addr")
}

# start_engine N [FLAG...] starts engine eN in one of three availability zones.
start_engine() {
  local n=$1
  shift
  rm -f "$dir/e$n.addr"
  start "engine$n" bin/standin engine -id "e$n" -zone "${zones[n % 3]}" -pool m@1 \
    -platform "http://$platform" -addr-file "$dir/e$n.addr" "$@"
}

# start_service N starts replica sN of the order desk.
start_service() {
  start "service$1" bin/standin service -id "s$1" -zone "${zones[$1 % 3]}" -pool order-desk -time 20ms \
    -platform "http://$platform" -addr-file "$dir/s$1.addr"
}

# start_router N writes router N's settings file, checks it and starts it.
start_router() {
  local n=$1
  cat >"$dir/r$n.ini" <<INI
[router]
instance = r$n
availability-zone = ${zones[n % 3]}

[listen]
callers = $(router "$n" 0)
operators = $(router "$n" 1)
peers = $(router "$n" 2)

[peers]
seeds = $(router 1 2), $(router 2 2)

[platform]
kv = $platform
instances = $platform
${router_extra:-}
INI
  bin/wisteriarouter check -config "$dir/r$n.ini" >"$dir/check.out"
  start "router$n" bin/wisteriarouter serve -config "$dir/r$n.ini"
}

# until_ok COMMAND... repeats a command until it succeeds, for 10 s at most.
until_ok() {
  for _ in $(seq 200); do
    if "$@" >/dev/null 2>&1; then
      return
    fi
    sleep 0.05
  done
  echo "gave up on: $*" >&2
  exit 1
}

# members N COUNT tells whether router N sees COUNT live routers.
members() {
  curl -s "http://$(router "$1" 1)/metrics" | grep -q "^wisteria_members{state=\"alive\"} $2\$"
}

# put_settings ROUTERS FILE puts a team's settings when all routers have met.
put_settings() {
  local n
  for n in $(seq "$1"); do
    until_ok members "$n" "$1"
  done
  bin/wisteriactl settings put -router "http://$(router 1 1)" -file "$2" \
    -author demo -reason "first settings" -wait 4s demo
  for n in $(seq "$1"); do
    until_ok curl -sf "http://$(router "$n" 0)/readyz"
  done
}

# calls_in_vain prints what routers logged of kinds of calls that a peer found wrong or that
# did not succeed, and succeeds if there is anything.
calls_in_vain() { grep -hE '"event":30[67],' "$dir"/router*.log "$dir"/router*.out; }

# list FORMAT... prints its arguments with commas between.
list() {
  local IFS=,
  echo "$*"
}
