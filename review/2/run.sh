#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no box fails.
. "$(dirname "$0")/../common.sh"
failing=true
[ "$trouble" = 0 ] && failing=false
play boxes -failing="$failing"
exit $?
