#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" odd "$(dirname "$0")"
