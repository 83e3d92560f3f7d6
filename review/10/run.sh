#!/usr/bin/env bash
# Plays case 10. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/limeladder ] || [ ! -x bin/review-driver2 ]; then
	echo "build first: the build of deploy/balancer.toml, then review/build-2.sh"
	exit 2
fi
exec bin/review-driver2 10 review/10
