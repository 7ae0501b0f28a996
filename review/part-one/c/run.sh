#!/bin/bash
# Bad clients by the hundred whose heads never end, and the requests of usual clients.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../../peers2/lib.sh"
ports=($(bin/peers2 ports -count 4))
listen=127.0.0.1:${ports[0]} discovery=127.0.0.1:${ports[1]}
sockets=256
limit="ulimit -n 256"
hosts 0=127.0.0.1:${ports[2]} 1=127.0.0.1:${ports[3]} >"$work/list"
configuration "$listen" "$discovery" "$(cat "$work/list")" "$(lane full-quote read_like)" >"$work/n1.json"
peer discovery discovery -addr "$discovery" -list "$work/list"
peer node1 node -addr "127.0.0.1:${ports[2]}" -wait 20ms
peer node2 node -addr "127.0.0.1:${ports[3]}" -wait 20ms
broker n1
ready "$listen" || exit 2
if [ "${TROUBLE:-1}" != 0 ]; then
	peer bad heads -addr "$listen" -count 300 -size 50 -gap 300ms -wait 25s
fi
sleep 1
peer client searches -addr "$listen" -count 60 -gap 250ms
wait "$peer"
broken=$?
alive "$broker" || { note "the broker is gone"; broken=1; }
verdict "$broken"
