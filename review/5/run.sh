#!/usr/bin/env bash
# Plays the case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Build ../../target first: the line of the deploy file, then ../build.sh.
set -u
cd "$(dirname "$0")" || exit 2
for program in acaciaroute review-standins; do
	[ -x "../../target/$program" ] || { echo "target/$program is missing"; exit 2; }
done
exec ../../target/review-standins banned . "$PWD/../../target/acaciaroute"
