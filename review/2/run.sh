#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" late-link "$(dirname "$0")"
