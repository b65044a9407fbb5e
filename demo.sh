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
if [ $# -eq 1 ] && [ "$1" = "-keep" ]; then
  keep=yes
elif [ $# -gt 0 ]; then
  echo "usage: ./demo.sh [-keep]" >&2
  exit 2
fi

. ./fleet.sh

echo "== start the platform, three engines, a plain service and three routers"
start_platform
for n in 1 2 3; do start_engine $n; done
start_service 1
for n in 1 2 3; do await "$dir/e$n.addr"; done
await "$dir/s1.addr"
for n in 1 2 3; do start_router $n; done

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
put_settings 3 "$dir/demo.ini"
callers=$(list "http://$(router 1 0)" "http://$(router 2 0)" "http://$(router 3 0)")

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
for name in router1 router3 engine1 engine2 service1 platform; do stop "$name"; done
if [ $status -ne 0 ]; then
  echo "the load found broken promises" >&2
fi
if calls_in_vain >&2; then
  echo "calls of routers were rejected, or did not succeed" >&2
  status=1
fi
exit $status
