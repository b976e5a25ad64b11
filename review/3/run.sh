#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" keys "$(dirname "$0")"
