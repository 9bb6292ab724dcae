#!/bin/sh
# Plays the case and writes record.txt: 1 = the rule was broken, 0 = it held, 2 = it could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/ashwood ] || [ ! -x bin/review/9 ]; then
	echo "build first: the deploy file's build, then review/build-2.sh"
	exit 2
fi
exec bin/review/9 review/9/record.txt
