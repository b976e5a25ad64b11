#!/bin/sh
# Plays one case and writes its record: run-case.sh CASE RECORD. Exits with 1 if the rule
# was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
case_name=$1
record=$(cd "$(dirname "$2")" && pwd)/$(basename "$2")
: > "$record" || exit 2
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/review/standin ] || [ ! -x target/release/cassialockd ]; then
    echo "build first: the command of deploy/system.toml, then review/build.sh"
    exit 2
fi
tmp=$(mktemp -d) || exit 2
# Ends the entries that are left, if any: only processes with the settings of this run.
finish() {
    if [ -f "$tmp/pids" ]; then
        while read -r pid; do
            if grep -qs "$tmp" "/proc/$pid/environ"; then kill -9 "$pid"; fi
        done < "$tmp/pids"
    fi
    rm -rf "$tmp"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout 115 target/review/standin "$case_name" "$record" "$tmp"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
