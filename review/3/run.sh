#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x bin/limeladder ]; then
	build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)
	bash -c "$build" || exit 2
fi
if [ ! -x review/bin/rig ]; then
	bash review/build.sh || exit 2
fi
exec review/bin/rig stale "$here/record.txt"
