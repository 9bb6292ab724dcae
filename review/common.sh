# Functions of the cases' scripts; sourced by review/N/run.sh.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$here/../.." && pwd)
trouble=${TROUBLE:-1}
tmp=$(mktemp -d)
pids=()

# finish ends every process that the script has started.
finish() {
	local i
	kill -TERM ${pids[@]+"${pids[@]}"} 2>/dev/null
	for ((i = 0; i < 50; i++)); do
		kill -0 ${pids[@]+"${pids[@]}"} 2>/dev/null || break
		sleep 0.1
	done
	kill -KILL ${pids[@]+"${pids[@]}"} 2>/dev/null
	wait 2>/dev/null
	rm -rf "$tmp"
}
trap finish EXIT
trap 'exit 2' INT TERM

[ -x "$root/bin/ashwood" ] && [ -x "$root/review/bin/stand" ] || { echo "build the deploy file and run review/build.sh first" >&2; exit 2; }
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")

# start_gateway CONFIG [NAME=VALUE...] starts a gateway by the deploy file's command.
start_gateway() {
	local config=$1 own
	shift
	own=$(mktemp -d -p "$tmp")
	(cd "$root" && exec env TMPDIR="$own" ROUTER_CONFIG="$config" "$@" /bin/sh -c "$run") 2>>"$tmp/gateways.log" >&2 &
	pids+=($!)
	if [ -n "${watch_gateway:-}" ]; then
		"$watch_gateway" $! &
		pids+=($!)
	fi
}

# play NAME FLAG... starts the stand-ins, then the gateways, and returns the stand-ins' exit code.
play() {
	local name=$1 stand i
	shift
	"$root/review/bin/$name" -dir "$tmp" -record "$here/record.txt" "$@" &
	stand=$!
	pids+=($stand)
	for ((i = 0; i < 100; i++)); do
		[ -e "$tmp/configured" ] && break
		sleep 0.1
	done
	for config in "$tmp"/gateway-*.json; do
		if [ -e "$tmp/operator.toml" ]; then start_gateway "$config" ASHWOOD_OPERATOR="$tmp/operator.toml"; else start_gateway "$config"; fi
	done
	wait "$stand"
}
