#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" usage "$(dirname "$0")"
