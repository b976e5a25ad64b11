#!/bin/sh
# Runs this case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand3 ] || { echo "no target/review/stand3: run review/build-3.sh" >&2; exit 2; }
target/review/stand3 flood "review/14/record.txt" &
pid=$!
# The program ends the machines that it started and removes its folder; if this script is
# stopped, it does that.
trap 'kill -KILL $(ps -o pid= --ppid $pid) $pid 2>/dev/null; rm -rf "${TMPDIR:-/tmp}/cassialock-review-$pid"' INT TERM
wait $pid
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
