#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS=-buildvcs=false GOWORK=off go build -trimpath -o ../target/review-standins ./standins
