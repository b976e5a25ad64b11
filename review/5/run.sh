#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" endless "$(dirname "$0")"
