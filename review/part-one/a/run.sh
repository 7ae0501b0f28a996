#!/bin/bash
# Bad clients by the hundred whose heads never end, and the platform's limit on memory.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../../peers2/lib.sh"
ports=($(bin/peers2 ports -count 4))
memory=128
listen=127.0.0.1:${ports[0]} discovery=127.0.0.1:${ports[1]}
hosts 0=127.0.0.1:${ports[2]} 1=127.0.0.1:${ports[3]} >"$work/list"
configuration "$listen" "$discovery" "$(cat "$work/list")" "$(lane full-quote read_like)" >"$work/n1.json"
peer discovery discovery -addr "$discovery" -list "$work/list"
peer node1 node -addr "127.0.0.1:${ports[2]}" -wait 20ms
peer node2 node -addr "127.0.0.1:${ports[3]}" -wait 20ms
broker n1
ready "$listen" || exit 2
peer platform memory -process "$broker" -megabytes 128
peer client searches -addr "$listen" -count 100 -gap 150ms
client=$peer
sleep 3
if [ "${TROUBLE:-1}" != 0 ]; then
	peer bad heads -addr "$listen" -count 340 -size 60000 -gap 500ms -wait 6s
fi
wait "$client"
broken=0
if ! alive "$broker"; then
	note "the broker is gone"
	broken=1
fi
kill -USR1 "$broker" 2>/dev/null
sleep 0.3
cat "$work/n1.log" | grep -v 'connection ended' | tail -20 >>"$record"
verdict "$broken"
