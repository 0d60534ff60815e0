#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3/.
set -eu
cd "$(dirname "$0")"
exec go build -trimpath -o ../target/review-3/ ./standins-3
