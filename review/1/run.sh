#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" stray-data "$(dirname "$0")"
