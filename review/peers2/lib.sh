# What the scripts of the second review share. A script sets `here` (its folder) and sources this file.
# Every process that is started here is ended at the script's end, by its id.
set -u
cd "$here" || exit 2
while [ ! -e deploy/balancer.toml ]; do
	[ "$PWD" != / ] || exit 2
	cd ..
done
for program in bin/brackenfront bin/brackenflight bin/peers2; do
	[ -x "$program" ] || { echo "$program is missing: build first"; exit 2; }
done
record=$here/record.txt
: >"$record" || exit 2
work=$(mktemp -d) || exit 2
started=()

finish() {
	local status=$? id
	for id in "${started[@]}"; do kill -CONT "$id" 2>/dev/null; kill -KILL "$id" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$work"
	exit "$status"
}
trap finish EXIT
trap 'exit 2' INT TERM

note() { echo "$(date +%s%3N) script $*" >>"$record"; }

# peer NAME COMMAND FLAGS... starts a stand-in in the background; its id is in $peer.
peer() {
	local name=$1 command=$2
	shift 2
	bin/peers2 "$command" -name "$name" -record "$record" "$@" >>"$work/$name.log" 2>&1 &
	peer=$!
	started+=("$peer")
}

# broker NAME starts a broker with $work/NAME.json as the deploy file says; its id is in $broker.
broker() {
	ROUTER_CONFIG=$work/$1.json /bin/sh -c "${limit:-:}; exec bin/brackenfront" >>"$work/$1.log" 2>&1 &
	broker=$!
	started+=("$broker")
}

# ready ADDRESS waits until a broker's health check answers 200.
ready() {
	local i
	for i in $(seq 100); do
		if exec 3<>"/dev/tcp/${1%:*}/${1#*:}"; then
			printf 'GET /healthz HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n' >&3
			head -1 <&3 | grep -q ' 200' && { exec 3>&-; return 0; }
			exec 3>&-
		fi 2>/dev/null
		sleep 0.1
	done
	note "the broker is not ready"
	return 1
}

alive() { [ -d "/proc/$1" ] && ! grep -q '^State:.Z' "/proc/$1/status"; }

# hosts BLOCK=ADDRESS... prints a list of nodes in discovery's form.
hosts() {
	local entries="" i=0 entry
	for entry in "$@"; do
		i=$((i + 1))
		entries="$entries${entries:+,}{\"host\":\"s-$i\",\"dial\":\"${entry#*=}\",\"site\":\"a\",\"class\":\"m2\",\"block\":${entry%%=*},\"health\":\"active\",\"share\":1.0,\"born_ms\":0}"
	done
	echo "{\"seq\":1,\"whole\":true,\"hosts\":[$entries]}"
}

# lane NAME EFFECT prints a query type of the settings.
lane() {
	echo "{\"name\":\"$1\",\"effect\":\"$2\",\"group\":\"all\",\"target\":2000,\"giveUp\":4000,\"worth\":1,\"lateWorth\":0.3,\"window\":2500}"
}

# configuration LISTEN DISCOVERY LIST LANES prints a broker's configuration, with the figures of kigali-main where it has some.
configuration() {
	local ones="" zeros="" i
	for i in $(grep -o '"giveUp"' <<<"$4"); do ones="$ones${ones:+,}1" zeros="$zeros${zeros:+,}0"; done
	cat <<-END
	{"name":"n1","listen":"$1","discovery":"$2","seed":"8c1f30d27a5be964",
	 "limits":{"cores":1.0,"memory_mb":${memory:-192},"sockets":${sockets:-1024}},
	 "known":$3,
	 "settings":{"instances":1,"tick":5,"myZone":"a","discovery":"pushed","worthBy":"request","overShareWorth":0.1,
	  "lanes":[$4],"tenants":[{"name":"acme","quotaPerS":100}],
	  "familyInfo":{"perCall":1,"places":2,"reach":1,"slices":2,"classNeed":[$ones],"minShare":[$ones],"incompleteWorth":[$zeros],"fetchParts":[$zeros]},
	  "policyLimits":{"mostTries":4,"maxOpen":222,"streamsPerConn":32,"mayCancel":true,"mayProbe":true,"retryAfter":false,"maxRetryAfter":500,"dialTimeout":250,"keepalive":30000},
	  "rules":{"cold":15000,"coldFrom":0.2,"fall":3000,"fallMultiple":3,"countedOver":10000,"furtherRatio":0.2,"minExtra":20,"drainGrace":250}}}
	END
}

# verdict BROKEN writes the result and ends the script: 1 if the rule was broken, else 0.
verdict() {
	if [ "$1" -gt 0 ]; then
		note "the rule was BROKEN"
		exit 1
	fi
	note "the rule held"
	exit 0
}
