#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: writers never fall silent.
. "$(dirname "$0")/../common.sh"
pause=800ms
[ "$trouble" = 0 ] && pause=0
play stand -rule cut -pause "$pause" -seconds 20 -rate 8
exit $?
