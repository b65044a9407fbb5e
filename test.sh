#!/usr/bin/env bash
# Runs the tests and fails for any that fails and that KNOWN-RED.txt does not list.
set -euo pipefail
cd "$(dirname "$0")"

usage() {
  echo "usage: ./test.sh [go test flags] [packages]    all packages by default" >&2
  exit 2
}
case "${1-}" in -h | -help | --help) usage ;; esac
[ $# -gt 0 ] || set -- work

log=$(mktemp)
trap 'rm -f "$log"' EXIT

# known_red reports whether only tests failed that KNOWN-RED.txt lists by name,
# each there with its cause and issue. A race, a panic or a test that hangs is
# never passed over.
known_red() {
  local failed name
  if grep -qE '^(panic:|fatal error:|SIGSEGV|WARNING: DATA RACE)|\[(build|setup) failed\]|test timed out' "$log"; then
    return 1
  fi
  failed=$(sed -nE 's/^--- FAIL: ([A-Za-z0-9_]+).*/\1/p' "$log" | sort -u)
  [ -n "$failed" ] || return 1
  for name in $failed; do
    grep -qE "^$name[/:]" KNOWN-RED.txt || return 1
  done
  printf '\nfailed, and listed in KNOWN-RED.txt: %s\n' "$failed"
}

# Tests that wait for most of their time run side by side. More at once would delay the messages
# on which their time bounds depend.
go test -timeout 20m -parallel 4 "$@" 2>&1 | tee "$log" | cut -c1-400 || known_red
