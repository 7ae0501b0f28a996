#!/bin/bash
# Two new configurations in a row, the second of which makes a query type stricter, and a connection that is reset under a request.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../../peers2/lib.sh"
ports=($(bin/peers2 ports -count 6))
listen=127.0.0.1:${ports[0]} discovery=127.0.0.1:${ports[1]}
hosts 0=127.0.0.1:${ports[2]} 0=127.0.0.1:${ports[3]} 1=127.0.0.1:${ports[4]} 1=127.0.0.1:${ports[5]} >"$work/list"
# put LANES puts a configuration in place, as operators do: beside the old one, then renamed.
put() {
	configuration "$listen" "$discovery" "$(cat "$work/list")" "$1" >"$work/new.json"
	mv "$work/new.json" "$work/n1.json"
}
put "$(lane full-quote read_like),$(lane slot-book read_like)"
peer discovery discovery -addr "$discovery" -list "$work/list"
for i in 2 3 4 5; do
	peer "node$((i - 1))" node -addr "127.0.0.1:${ports[i]}" -wait 1500ms -resets
done
broker n1
ready "$listen" || exit 2
sleep 1
peer client searches -addr "$listen" -class slot-book -count 1 -expires 4000ms
client=$peer
sleep 0.4
if [ "${TROUBLE:-1}" != 0 ]; then
	put "$(lane full-quote read_like)"
	kill -HUP "$broker"
	note "SIGHUP: no slot-book"
	sleep 0.3
fi
put "$(lane full-quote read_like),$(lane slot-book non_idempotent)"
kill -HUP "$broker"
note "SIGHUP: slot-book must not run twice"
wait "$client"
grep 'configuration read again' "$work/n1.log" >>"$record"
if [ "${TROUBLE:-1}" != 0 ]; then expected=2; else expected=1; fi
[ "$(grep -c 'configuration read again.*switched=true' "$work/n1.log")" = "$expected" ] || { note "the configurations were not put in force"; exit 2; }
# Parts of slot-book that ran again later than 0.3 s after the SIGHUP that forbids it.
broken=$(awk '/must not run twice/ {since = $1 + 300}
	$2 ~ /^node/ && $3 == "run" {if (ran[$4]++ && since && $1 > since) again++}
	END {print again + 0}' "$record")
note "$broken parts ran again after that"
alive "$broker" || { note "the broker is gone"; broken=1; }
verdict "$broken"
