#!/usr/bin/env bash
# A gateway that was started from a terminal console; the console is closed while work is in flight, and the gateway is
# stopped in order two seconds later. TROUBLE=0: the console stays open.
. "$(dirname "$0")/../lib-2.sh"
set -- $("$STANDINS/ports" 2) || give_up "no free ports"
base_site > "$TMP/site.toml"
cat >> "$TMP/site.toml" << X

[[gateway]]
name = "gw1"
listen = "127.0.0.1:$1"

[[node]]
name = "node0"
shard = 0
address = "127.0.0.1:$2"
cores = 4
base_us = 100000
X
cat > "$TMP/load.toml" << X
[load]
seed = 20261205
subsystem = "nqn.2026-12.example.crowbay:room"
hosts = 2
queues = 1

[[gateway]]
name = "gw1"
address = "127.0.0.1:$1"

[[volume]]
name = "ledger"
nsid = 1
blocks = 4096

[[class]]
name = "balance-read"
op = "read"
kib = 4
share = 0.6
aim_ms = 500
patience_ms = 1500
worth = 2
late_worth = 0.1

[[class]]
name = "transfer-write"
op = "write"
kib = 4
share = 0.4
aim_ms = 500
patience_ms = 1500
worth = 2
late_worth = 0.1

[[phase]]
shape = "steady"
seconds = 8
rate = 25
X
"$CROWBAY" check "$TMP/site.toml" >> "$RECORD" 2>&1 || give_up "the site file is wrong"
start node0 "$CROWBAY" node --config "$TMP/site.toml" --name node0
wait_until 10 listens node0 || give_up "the node does not listen"
mkdir "$TMP/console"
start console "$STANDINS/console" "$TMP/console" "$CROWBAY" gateway --config "$TMP/site.toml" --name gw1
console=$PID
wait_until 10 grep -q '"address"' "$TMP/console/screen" || give_up "the gateway does not listen"
gateway=$(cat "$TMP/console/pid")
note "the gateway runs on its console as process $gateway"
sleep 1
start load "$CROWBAY" load "$TMP/load.toml" --out "$TMP/load" --json
load=$PID
sleep 3
if [ "$TROUBLE" != 0 ]; then
    touch "$TMP/console/close"
    wait_until 5 test -e "$TMP/console/closed" || give_up "the console was not closed"
    note "the console is closed, with work in flight"
fi
sleep 2
kill -0 "$gateway" 2>/dev/null || note "the gateway has ended already"
note "SIGTERM to the gateway: it is stopped in order"
kill -TERM "$gateway"
wait_until 10 test -s "$TMP/console/end" || give_up "the gateway did not end within 10 s"
ended=$(cat "$TMP/console/end")
note "the gateway ended: $ended"
wait "$console"
wait "$load"
note "the load ended with $?"
cat "$TMP/load/table.txt" "$TMP/console/screen" >> "$RECORD"
lost=$(awk '$1 == "balance-read" || $1 == "transfer-write" { sum += $7 } END { print sum + 0 }' "$TMP/load/table.txt")
served=$(awk '$1 == "balance-read" || $1 == "transfer-write" { sum += $3 } END { print sum + 0 }' "$TMP/load/table.txt")
[ "$served" -gt 0 ] || give_up "nothing was served"
case $ended in
    "exit status: 0") [ "$lost" = 0 ] || broken "$lost commands that were taken got no answer" ;;
    *) broken "the gateway crashed ($ended); $lost commands that were taken got no answer" ;;
esac
held "the gateway left in order, $served commands were served and none was lost"
