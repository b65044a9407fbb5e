#!/usr/bin/env bash
# Builds everything, starts a small fleet on loopback as separate processes,
# runs returning chats and an action through it, stops a router and an engine
# gracefully in the middle, and shows what came of it. Exit status 0 means that
# every promise that the load checks held and that nothing was cut off.
#
#   ./demo.sh         run and clean up
#   ./demo.sh -keep   leave the fleet up and print what to try
set -euo pipefail
cd "$(dirname "$0")"

keep=no
if [ "${1:-}" = "-keep" ]; then
  keep=yes
elif [ $# -gt 0 ]; then
  echo "usage: ./demo.sh [-keep]" >&2
  exit 2
fi

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
  if [ "$keep" = yes ] && [ $status -eq 0 ]; then
    return
  fi
  stop_all
  if [ $status -ne 0 ]; then
    echo "demo failed with status $status; last lines of each log:" >&2
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
  echo "demo: $1 did not appear" >&2
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

echo "== start the platform, three engines, a plain service and three routers"
start platform bin/standin platform -addr-file "$dir/platform.addr"
await "$dir/platform.addr"
platform=$(cat "$dir/platform.addr")
zones=(a b c)
for n in 1 2 3; do
  start "engine$n" bin/standin engine -id "e$n" -zone "${zones[n - 1]}" -pool m@1 \
    -platform "http://$platform" -addr-file "$dir/e$n.addr"
done
start service bin/standin service -id s1 -pool order-desk -time 20ms \
  -platform "http://$platform" -addr-file "$dir/s1.addr"
for n in 1 2 3; do await "$dir/e$n.addr"; done
await "$dir/s1.addr"

# Ports from a range of this run's own; a router needs to know its seeds' ports
# before they are bound.
base=$((20000 + RANDOM % 12000))
router() { echo "127.0.0.1:$((base + $1 * 10 + $2))"; }
for n in 1 2 3; do
  cat >"$dir/r$n.ini" <<INI
[router]
instance = r$n
availability-zone = ${zones[n - 1]}

[listen]
callers = $(router $n 0)
operators = $(router $n 1)
peers = $(router $n 2)

[peers]
seeds = $(router 1 2), $(router 2 2)

[platform]
kv = $platform
instances = $platform
INI
  bin/wisteriarouter check -config "$dir/r$n.ini"
  start "router$n" bin/wisteriarouter serve -config "$dir/r$n.ini"
done
operators="http://$(router 1 1),http://$(router 3 1)"
callers="http://$(router 1 0),http://$(router 2 0),http://$(router 3 0)"

echo
echo "== an operator writes the team's settings"
cat >"$dir/demo.ini" <<'INI'
[team]
deadline-default = 10s

[model "m"]
version = 1

[service "order-desk"]
non-idempotent = confirm
INI
for n in 1 2 3; do
  for _ in $(seq 100); do
    curl -sf -o /dev/null "http://$(router $n 1)/healthz" && break
    sleep 0.05
  done
done
for _ in $(seq 100); do
  curl -s "http://$(router 1 1)/metrics" | grep -q '^wisteria_members{state="alive"} 3' && break
  sleep 0.05
done
bin/wisteriactl settings put -router "$operators" -file "$dir/demo.ini" \
  -author demo -reason "first settings" -wait 4s demo
for n in 1 2 3; do
  for _ in $(seq 100); do
    curl -sf -o /dev/null "http://$(router $n 0)/readyz" && break
    sleep 0.05
  done
done

if [ "$keep" = yes ]; then
  cat <<TRY

The fleet is up. Its logs and settings are in $dir. Try:

  curl -sN http://$(router 1 0)/v1/chat/completions -H 'X-Team: demo' \\
    -H 'X-Client-Account: label-1' -H 'X-Chat-Id: c1' -H 'Content-Type: application/json' \\
    -d '{"model":"m","stream":true,"messages":[{"role":"user","content":"a quote for 300 copies"}]}'

  curl -s -i http://$(router 2 0)/v1/services/order-desk/confirm -H 'X-Team: demo' \\
    -H 'X-Client-Account: label-1' -H "Idempotency-Key: order-1" \\
    -H "X-Issued-At: \$(date -u +%FT%TZ)" -H 'Content-Type: application/json' -d '{"key":"order-1"}'

  bin/wisteriactl status -router http://$(router 1 1)
  bin/wisteriactl settings get -router http://$(router 1 1) demo
  bin/wisteriactl settings history -router http://$(router 1 1) demo
  curl -s http://$(router 1 1)/metrics | grep ^wisteria

End it with:

  kill ${pids[*]}
TRY
  exit 0
fi

echo
echo "== returning chats and actions for 12 s; router 2 and engine 3 stop on the way"
engines="http://$(cat "$dir/e1.addr"),http://$(cat "$dir/e2.addr")"
bin/standin load -routers "$callers" -team demo -model m -duration 12s -rate 4 \
  -action-rate 2 -services "http://$(cat "$dir/s1.addr")" -engines "$engines" \
  >"$dir/load.txt" 2>"$dir/load.log" &
pids[load]=$!
sleep 4
stop router2
sleep 2
stop engine3
status=0
wait "${pids[load]}" || status=$?
unset "pids[load]"
cat "$dir/load.txt" "$dir/load.log"

echo
echo "== control traffic between the routers that are left"
for n in 1 3; do
  curl -s "http://$(router $n 1)/metrics" |
    awk -v r="router $n" '/^wisteria_peer_bytes_total/ && /direction="sent"/ && !/type="rumor"/ {b += $NF}
      /^process_start_time_seconds/ {s = $NF}
      END {srand(); printf "%s sent %.0f bytes to other routers, %.2f KB/s\n", r, b, b / 1000 / (srand() - s)}'
done

echo
echo "== stop what is left"
for name in router1 router3 engine1 engine2 service platform; do stop "$name"; done
if [ $status -ne 0 ]; then
  echo "the load found broken promises" >&2
fi
exit $status
