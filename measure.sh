#!/usr/bin/env bash
# Measures a fleet of today's size, 7 routers before 12 engines and 3 services,
# as separate processes on loopback: cache reuse, load skew, latency and control
# traffic, undisturbed and in trouble. Prints a table for each case.
#
#   ./measure.sh [CASE...]
#
# Cases: steady, churn (an engine in twelve replaced as planned every 5 s), moved
# (the same with a link that pays for moving KV caches), crash (killed instead),
# router (a router killed), surge (three client accounts at ten times their rate).
set -euo pipefail
cd "$(dirname "$0")"

cases="steady churn moved crash router surge"
for each in "$@"; do
  case $each in
  steady | churn | moved | crash | router | surge) ;;
  *)
    echo "usage: ./measure.sh [CASE...], of: $cases" >&2
    exit 2
    ;;
  esac
done

. ./fleet.sh

routers=7
engines=12
seconds=30
rate=20

# replace KIND N stops or kills engine N and starts it anew.
replace() {
  if [ "$1" != crash ]; then
    kill -TERM "${pids[engine$2]}"
  else
    kill -KILL "${pids[engine$2]}"
  fi
  wait "${pids[engine$2]}" 2>/dev/null || true
  start_engine "$2"
}

# trouble CASE makes trouble for as long as the load runs.
trouble() {
  local n
  case $1 in
  churn | moved | crash)
    for n in 1 2 3 4; do
      sleep 5
      replace "$1" $n
    done
    ;;
  router)
    sleep 10
    kill -KILL "${pids[router7]}"
    wait "${pids[router7]}" 2>/dev/null || true
    ;;
  esac
}

measure() {
  local n flags=() callers=() operators=() addresses=() services=()
  rm -f "$dir"/*.addr
  router_extra=
  if [ "$1" = moved ]; then router_extra=$'[transfer]\nlink = 1192MiB'; fi
  start_platform
  for n in $(seq $engines); do start_engine $n -cache-blocks 1024; done
  for n in 1 2 3; do start_service $n; done
  for n in $(seq $engines); do await "$dir/e$n.addr"; done
  for n in 1 2 3; do await "$dir/s$n.addr"; done
  for n in $(seq $routers); do
    start_router $n
    callers+=("http://$(router $n 0)")
    operators+=("http://$(router $n 1)")
  done
  put_settings $routers "$dir/today.ini" >/dev/null
  for n in $(seq 5 $engines); do addresses+=("http://$(cat "$dir/e$n.addr")"); done
  for n in 1 2 3; do services+=("http://$(cat "$dir/s$n.addr")"); done
  if [ "$1" = surge ]; then flags=(-surging 3 -surge 10); fi
  if [ "$1" = steady ] || [ "$1" = surge ]; then
    addresses=()
    for n in $(seq $engines); do addresses+=("http://$(cat "$dir/e$n.addr")"); done
    flags+=(-engines "$(list "${addresses[@]}")")
  fi
  bin/standin load -routers "$(list "${callers[@]}")" -duration ${seconds}s -rate $rate -pause 3s \
    -action-rate 2 -services "$(list "${services[@]}")" -metrics "$(list "${operators[@]:0:6}")" \
    -counters 'wisteria_peer_bytes_total{direction="sent"}' "${flags[@]}" >"$dir/load.txt" 2>"$dir/load.log" &
  pids[load]=$!
  trouble "$1"
  wait "${pids[load]}" || echo "the load found broken promises: $(cat "$dir/load.log")"
  unset "pids[load]"
  echo "== $1: $routers routers, $engines engines, $rate new chats/s for $seconds s"
  cat "$dir/load.txt"
  echo
  stop_all
  pids=()
}

cat >"$dir/today.ini" <<'INI'
[model "m"]
version = 1

[service "order-desk"]
non-idempotent = confirm
INI
# shellcheck disable=SC2086 # one word for each case
if [ $# -eq 0 ]; then set -- $cases; fi
for each in "$@"; do measure "$each"; done
