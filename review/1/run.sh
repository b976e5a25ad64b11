#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" leavers "$(dirname "$0")"
