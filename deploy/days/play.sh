#!/bin/sh
# Plays the days of this folder on each SITE, with the seeds in SEEDS ("1 2 3"), JOBS (4) at a time, and prints one line a day: what broke,
# worth, times to an acknowledgement (median and worst, ms), GB between zones. DAYS names some of them alone. BENCH is the bench's program;
# reports and what the bench printed stay in OUT.
#
#   SEEDS="1 2 3" OUT=target/days deploy/days/play.sh SITE...
set -eu
: "${SEEDS:=1 2 3}" "${JOBS:=4}" "${OUT:=target/days}" "${WHY:=the days of our own}"
: "${BENCH:=../given/kit/more/system/more/bench-497b98/bin/fleetbench}"
export BENCH OUT WHY
here=$(dirname "$0")
: "${DAYS:=$(cd "$here" && ls *.toml | sed 's/\.toml$//')}"
mkdir -p "$OUT"
"$BENCH" build >"$OUT/build.txt" 2>&1
for site in "$@"; do
	for day in $DAYS; do
		for seed in $SEEDS; do echo "$site $here/$day.toml $seed"; done
	done
done | xargs -P "$JOBS" -L 1 sh -c '
	name=$(basename "$0" .toml).$(basename "$1" .toml).$2
	"$BENCH" run "$0" "$1" --seed "$2" --jobs 1 --why "$WHY" --report "$OUT/$name.json" >"$OUT/$name.txt" 2>&1 || true
	if [ ! -s "$OUT/$name.json" ]; then echo "$name NOT PLAYED: $(tail -1 "$OUT/$name.txt")"; exit 0; fi
	jq -r --arg name "$name" "[\$name, (if .breaks == {} then \"kept\" else (.breaks | to_entries | map(\"\(.key) \(.value)\") | join(\" \")) end),
		(if .fault then \"FAULT \(.fault)\" else empty end), (if .short == [] then empty else \"short \(.short|tojson)\" end),
		(if .missed == [] then empty else \"missed \(.missed|tojson)\" end), (if .exits_n > 0 then \"exits \(.exits_n)\" else empty end),
		\"worth \(.G)\", \"served \(.served)\", \"acks \(.times[\"config acked\"]|tojson)\", \"zones-GB \(.prices[]|select(.[0]==\"GB between zones\")|.[1])\",
		(if .hints == [] then empty else (.hints|join(\"; \")) end)] | join(\"  \")" "$OUT/$name.json"
'
