#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 9 start besides the programs of the deploy file's build: the stand-ins of
# review/standins-2 (standard library only). Storage nodes and load of the project's own are sub-commands of the
# program that the deploy file's build leaves; where that is missing, it is built here.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in ports console link; do
    rustc --edition 2024 -O -o "target/review-2/$name" "review/standins-2/$name.rs"
done
[ -x target/release/crowbay ] || cargo build --release --locked --offline
