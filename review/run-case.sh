#!/bin/sh
# Runs one case: run-case.sh CASE FOLDER. Ends all processes that the case started, by their ids.
folder=$(cd "$2" && pwd)
root=$(cd "$folder/../.." && pwd)
temporary=$(mktemp -d) || exit 2
finish() {
    if [ -f "$temporary/pids" ]; then
        while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$temporary/pids"
    fi
    rm -rf "$temporary"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
[ -x "$root/target/review/standins" ] || { echo "run review/build.sh first" >&2; exit 2; }
cd "$root" || exit 2
timeout 110 "$root/target/review/standins" "$1" "$root" "$folder" "$temporary"
code=$?
case $code in 0 | 1 | 2) exit $code ;; *) exit 2 ;; esac
