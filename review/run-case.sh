#!/bin/sh
# Runs one case: run-case.sh CASE FOLDER. Ends all processes that the case started, by their ids.
folder=$(cd "$2" && pwd)
root=$(cd "$folder/../.." && pwd)
temporary=$(mktemp -d) || exit 2
driver=
finish() {
    if [ -n "$driver" ]; then
        kill -TERM "$driver" 2>/dev/null
        wait "$driver"
    fi
    if [ -f "$temporary/pids" ]; then
        while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$temporary/pids"
    fi
    # A process that is just ending may still have made a file.
    rm -rf "$temporary" || { sleep 1 && rm -rf "$temporary"; }
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
[ -x "$root/target/review/standins" ] || { echo "run review/build.sh first" >&2; exit 2; }
cd "$root" || exit 2
# In the background, so that a signal to this script is heard while the case runs.
timeout 110 "$root/target/review/standins" "$1" "$root" "$folder" "$temporary" &
driver=$!
wait "$driver"
code=$?
driver=
case $code in 0 | 1 | 2) exit $code ;; *) exit 2 ;; esac
