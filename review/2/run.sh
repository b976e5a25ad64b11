#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" pieces "$(dirname "$0")"
