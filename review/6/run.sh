#!/bin/sh
# Runs the case stalled-crowd of the second review: see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
if [ ! -x bin/sidecar ] || [ ! -x bin/review-2 ]; then
	echo "run the build of the deploy file and review/build-2.sh first" >&2
	exit 2
fi
exec bin/review-2 stalled-crowd "$folder"
