#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" fences "$(dirname "$0")"
