#!/bin/sh
# Plays the case and writes record.txt beside this file. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run.
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$dir/../run-case.sh" odd "$dir/record.txt"
