#!/bin/bash
# Clients that send many commands at once on one connection.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../../peers2/lib.sh"
ports=($(bin/peers2 ports -count 4))
listen=127.0.0.1:${ports[0]} discovery=127.0.0.1:${ports[1]}
hosts 0=127.0.0.1:${ports[2]} 1=127.0.0.1:${ports[3]} >"$work/list"
configuration "$listen" "$discovery" "$(cat "$work/list")" "$(lane full-quote read_like)" >"$work/n1.json"
peer discovery discovery -addr "$discovery" -list "$work/list"
peer node1 node -addr "127.0.0.1:${ports[2]}" -wait 1200ms
peer node2 node -addr "127.0.0.1:${ports[3]}" -wait 1200ms
broker n1
ready "$listen" || exit 2
way=-pipelined=true
[ "${TROUBLE:-1}" != 0 ] || way=-pipelined=false
clients=()
for i in 1 2 3 4 5 6; do
	peer client$i commands -addr "$listen" -count 4 -gap 2300ms $way
	clients+=("$peer")
	sleep 0.4
done
broken=0
for id in "${clients[@]}"; do
	wait "$id" || broken=$((broken + 1))
done
alive "$broker" || { note "the broker is gone"; broken=1; }
verdict "$broken"
