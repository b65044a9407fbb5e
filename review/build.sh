#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start. Needs Go only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOWORK=off GOFLAGS="${GOFLAGS:-} -buildvcs=false" go build -o bin/stand ./stand
