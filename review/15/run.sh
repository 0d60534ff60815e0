#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standins-3 ] || exit 2
exec target/review-3/standins-3 retries-after-kill review/15
