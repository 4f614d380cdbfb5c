# Common part of the scripts of cases 6 to 9, to be sourced by them: paths, the record, processes and their end.
# Exit codes of the scripts: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
STANDINS=$ROOT/target/review-2
CROWBAY=$ROOT/target/release/crowbay
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
export TROUBLE
ulimit -c 0
BEGUN=$(date +%s%N)
TMP=$(mktemp -d) || exit 2
: > "$RECORD" || exit 2
cd "$ROOT" || exit 2

# Ends what was started and still runs, by its number, however the script ends: its own children, and a program on a
# console, whose number the console wrote down.
clean_up() {
    local pid
    kill -TERM "$WATCH" 2> /dev/null
    if [ -s "$TMP/console/pid" ] && [ ! -e "$TMP/console/end" ]; then
        kill -KILL "$(cat "$TMP/console/pid")" 2> /dev/null
    fi
    for pid in $(jobs -pr); do
        [ "$pid" = "$WATCH" ] || kill -KILL "$pid" 2> /dev/null
    done
    wait 2> /dev/null
    rm -rf "$TMP"
}
trap clean_up EXIT
trap 'exit 2' INT TERM

# A script that hangs is ended after 95 s; what it may be waiting for then takes no more than 15 s.
(
    trap 'kill "$sleeper"; exit' TERM
    sleep 95 &
    sleeper=$!
    wait "$sleeper"
    kill -TERM $$
) &
WATCH=$!

# Writes a line to the record, with the milliseconds since the start.
note() { printf '%8d %s\n' $((($(date +%s%N) - BEGUN) / 1000000)) "$*" >> "$RECORD"; }

# The case could not run.
give_up() { note "could not run: $*"; echo "could not run: $*" >&2; exit 2; }

# The rule held, or was broken.
held() { note "HELD: $*"; echo "held: $*"; exit 0; }
broken() { note "BROKEN: $*"; echo "broken: $*"; exit 1; }

# Starts a program in the background, with its output in $TMP/NAME.out and .err; its number is in $PID.
start() {
    local name=$1
    shift
    "$@" > "$TMP/$name.out" 2> "$TMP/$name.err" &
    PID=$!
    note "started $name"
}

# Waits up to SECONDS until a command succeeds.
wait_until() {
    local tries=$(($1 * 20))
    shift
    while ! "$@" > /dev/null 2>&1; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || return 1
        sleep 0.05
    done
}

# Whether a program that was started has printed that it listens.
listens() { grep -q '"address"' "$TMP/$1.out"; }

# The part of a site file that the cases with NVMe/TCP gateways share: one volume on one shard.
base_site() {
    cat << 'X'
[site]
name = "room"
subsystem = "nqn.2026-12.example.crowbay:room"
unit_kib = 4
most_units = 8
mean_units = 1
share_worth = 0.35
spare_worth = 0.08

[rules]
most_attempts = 3
most_advice_ms = 1000
drain_grace_ms = 1000
order_rest_ms = 200
fall_multiple = 3
cold_units = 20
cold_window_ms = 1000
cold_from = 0.2
warm_after_ms = 5000

[[class]]
name = "balance-read"
op = "read"
repeats = "safe"
aim_ms = 500
patience_ms = 1500
worth = 2

[[class]]
name = "transfer-write"
op = "write"
repeats = "keyed"
window_ms = 2500
aim_ms = 500
patience_ms = 1500
worth = 2

[[class]]
name = "flush"
op = "flush"
repeats = "safe"
aim_ms = 500
patience_ms = 2000
worth = 1

[[plan]]
name = "plain"
rate = 100
reserve = 50
weight = 1
price = 1

[[volume]]
name = "ledger"
nsid = 1
blocks = 4096
plan = "plain"
extent_blocks = 64
shards = [0]
X
}

for each in "$CROWBAY" "$STANDINS/ports" "$STANDINS/console" "$STANDINS/link"; do
    [ -x "$each" ] || give_up "$each is not built; see review/build-2.sh"
done
