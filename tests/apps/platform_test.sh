#!/usr/bin/env bash
# Starts the gateway as the platform does (the command is given), as an ordinary user where this one may become one:
# it must refuse a bad configuration, serve /ready with a good one, keep that at a bad reload, and end on SIGTERM.
set -euo pipefail
run=$1
folder=$(mktemp -d)
chmod 755 "$folder"
gateway=
trap '[ -z "$gateway" ] || kill "$gateway" 2>/dev/null || true; rm -rf "$folder"' EXIT
as=(env -i)
[ "$(id -u)" -ne 0 ] || as=(setpriv --reuid=65534 --regid=65534 --clear-groups env -i)
settings='{"az":"a","classes":[{"aim_ns":1000000000,"deadline_ns":4000000000,"effect":"repeatable","gain":1.0,"name":"chat"}],"discovery":"push","extra":{"duty_by_kind":["read","write"]},"fleet_size":1,"limits":{"send_cap":4},"me":0,"report":{"fields":[]},"rules":{"cold_from":0.3,"fall_multiple":3.0,"fall_ns":2000000000},"skus":["r","w"],"tick_ns":2000000}'
config() { printf '{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":%s}' "$1"; }

config '{}' > "$folder/config.json"
if "${as[@]}" EDGE_CONFIG="$folder/config.json" sh -c "$run" 2> "$folder/errors"; then exit 1; fi
grep -q "field 'extra': missing" "$folder/errors"
config "${settings//\"deadline_ns\":4000000000/\"deadline_ns\":1}" > "$folder/config.json"
if "${as[@]}" EDGE_CONFIG="$folder/config.json" sh -c "$run" 2> "$folder/errors"; then exit 1; fi
grep -q "config.json: field 'settings': class chat" "$folder/errors"
config "${settings//\"skus\":\[\"r\",\"w\"\]/\"skus\":[\"r\",\"r\"]}" > "$folder/config.json"
if "${as[@]}" EDGE_CONFIG="$folder/config.json" sh -c "$run" 2> "$folder/errors"; then exit 1; fi
grep -q "field 'skus': a name stands there twice" "$folder/errors"

config "$settings" > "$folder/config.json"
"${as[@]}" EDGE_CONFIG="$folder/config.json" sh -c "$run" > "$folder/out" 2> "$folder/log" &
gateway=$!
until grep -q listening "$folder/out"; do kill -0 $gateway; done
port=$(grep -o '127.0.0.1:[0-9]*' "$folder/out" | cut -d: -f2)
ready() {
    exec 3<>"/dev/tcp/127.0.0.1/$port"
    printf 'GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n' >&3
    head -1 <&3
    exec 3>&-
}
ready | grep -q '200 OK'
echo '{' > "$folder/config.json"
kill -HUP $gateway
until grep -q 'the old one stays' "$folder/log"; do kill -0 $gateway; done
ready | grep -q '200 OK'
config "${settings//\"deadline_ns\":4000000000/\"deadline_ns\":1}" > "$folder/config.json"
kill -HUP $gateway
until grep -q "field 'settings': class chat" "$folder/log"; do kill -0 $gateway; done
# A reload in the moment of the end, and the signal twice: neither changes how it ends.
kill -HUP $gateway
kill -TERM $gateway
kill -HUP $gateway
kill -TERM $gateway
for _ in 1 2 3 4 5; do kill -HUP $gateway 2>/dev/null || true; done
wait $gateway
gateway=
echo "platform: started, reloaded, ended"
