#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no bad clients.
. "$(dirname "$0")/../common.sh"
limit_mb=192 # limits.memory_mb of the gateway's configuration
bad=true
[ "$trouble" = 0 ] && bad=false

# platform kills the gateway once it uses more memory than it is allowed, as the deployment page says.
platform() {
	local rss max=0
	while sleep 0.1; do
		rss=$(sed -n 's/^VmRSS:[^0-9]*\([0-9]*\) kB$/\1/p' "/proc/$1/status" 2>/dev/null)
		[ -n "$rss" ] || return
		[ "$rss" -gt "$max" ] && max=$rss
		echo "$max" >"$tmp/most"
		if [ "$rss" -gt $((limit_mb * 1024)) ]; then
			kill -KILL "$1"
			echo "$rss" >"$tmp/killed"
			return
		fi
	done
}

watch_gateway=platform
play boxes -bad="$bad" -payouts 100
code=$?
echo "platform: limit $((limit_mb * 1024)) kB, most used $(cat "$tmp/most") kB" >>"$here/record.txt"
if [ -e "$tmp/killed" ]; then
	echo "BROKEN the gateway was killed for memory: $(cat "$tmp/killed") kB" >>"$here/record.txt"
	exit 1
fi
exit "$code"
