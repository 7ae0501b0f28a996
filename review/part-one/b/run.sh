#!/bin/bash
# A council whose members were replaced, one of which loses its disk.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../../peers2/lib.sh"
ports=($(bin/peers2 ports -count 11))
for i in $(seq 64); do printf 6b; done >"$work/keys"
chmod 600 "$work/keys"
fleet_addr() { echo "127.0.0.1:${ports[$1]}"; }
seat() { echo "b$1=$(fleet_addr "$1")"; }
ids=()

# start N SEATS starts broker N in the council that SEATS lists, as its supervisor does.
start() {
	mkdir -p "$work/b$1"
	chmod 700 "$work/b$1"
	configuration "127.0.0.1:${ports[$(($1 + 5))]}" "127.0.0.1:${ports[0]}" "$(hosts 0=127.0.0.1:${ports[0]} 1=127.0.0.1:${ports[0]})" \
		"$(lane full-quote read_like)" | sed "s/\"n1\"/\"b$1\"/" >"$work/b$1.json"
	ROUTER_CONFIG=$work/b$1.json /bin/sh -c "exec bin/brackenflight --set 'fleet.council=$2' --set fleet.broker=b$1 --set fleet.keys=$work/keys \
		--set fleet.ttl_ms=1000 --set fleet.tick_ms=25 --set fleet.listen=$(fleet_addr "$1") --set fleet.dir=$work/b$1 \
		--set fleet.report=$work/report-b$1 --set fleet.report_s=1" >>"$work/b$1.log" 2>&1 &
	ids[$1]=$!
	started+=("$!")
	note "b$1 started, council $2"
}
end() {
	kill -KILL "${ids[$1]}"
	wait "${ids[$1]}" 2>/dev/null
	note "b$1 killed"
}
# fleet SEATS WORDS... is the operator's command.
fleet() {
	local seats=$1
	shift
	bin/brackenflight --set "fleet.council=$seats" --set "fleet.keys=$work/keys" --set fleet.broker=operator fleet "$@" 2>&1
}
# leader SEATS waits until the council has a leader.
leader() {
	local i
	for i in $(seq 60); do
		fleet "$1" status | grep -q ' leads ' && return 0
		sleep 0.25
	done
	return 1
}
# replace SEATS OLD NEW replaces a member, and waits until the new one has its vote.
replace() {
	local i
	for i in $(seq 60); do
		fleet "$1" council replace "$2" "$3" >/dev/null
		fleet "$1" status | grep "^$3 .*true " | grep -qv learns && { note "$3 has taken the place of $2"; return 0; }
		sleep 0.5
	done
	note "$3 did not take the place of $2"
	return 1
}
first="$(seat 1);$(seat 2);$(seat 3)" second="$(seat 1);$(seat 4);$(seat 3)" third="$(seat 1);$(seat 4);$(seat 5)"
for i in 1 2 3; do start $i "$first"; done
leader "$first" || exit 2
# The machine of b2 breaks for good, and later that of b3; each is replaced as docs/fleet.md says.
start 4 "$second"
replace "$first" b2 b4 || exit 2
end 2
start 5 "$third"
replace "$second" b3 b5 || exit 2
end 3
# Both machines come back, repaired and with blank disks, and with the settings that they had.
rm -rf "$work/b2" "$work/b3"
start 2 "$first"
start 3 "$first"
sleep 3
fleet "$third" status >>"$record"
# b1 is started again; with the disruption its disk is lost, which needs no action but an empty directory.
end 1
if [ "${TROUBLE:-1}" != 0 ]; then
	rm -rf "$work/b1"
	note "b1 has lost its disk"
fi
start 1 "$first"
sleep 8
# Who makes the report, for the next six seconds: a file that changes has a writer.
writers=""
for i in 1 2 3 4 5; do [ -e "$work/report-b$i" ] && stat -c %y "$work/report-b$i" >"$work/before$i"; done
for round in 1 2 3; do
	sleep 2
	now=""
	for i in 1 2 3 4 5; do
		[ -e "$work/report-b$i" ] || continue
		stat -c %y "$work/report-b$i" >"$work/after$i"
		cmp -s "$work/before$i" "$work/after$i" || now="$now b$i:$(tr -d ' \n' <"$work/report-b$i" | head -c 50)"
		cp "$work/after$i" "$work/before$i"
	done
	note "reports written in these two seconds by:$now"
	writers="$writers $(wc -w <<<"$now")"
done
{ echo "asked of b4, b5:"; fleet "$(seat 4);$(seat 5);$(seat 1)" leases; echo "asked of b2, b3:"; fleet "$(seat 2);$(seat 3);$(seat 1)" leases; } >>"$record"
grep -h 'it is founded\|disk' "$work"/b?.log >>"$record"
broken=0
case "$writers" in *[2-9]*[2-9]*[2-9]*) broken=1 ;; esac
verdict "$broken"
