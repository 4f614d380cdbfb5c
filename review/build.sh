#!/bin/sh
# Builds what the cases start: the project's own programs as the deploy file does, and the stand-ins of the
# cases, which use the standard library alone. Needs no network.
set -eu
cd "$(dirname "$0")/.."
build=$(sed -n 's/^build = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
CARGO_NET_OFFLINE=true sh -c "$build"
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
