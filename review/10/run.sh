#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. What was sent and answered is in record.txt.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/arrowwalk ] || [ ! -x bin/review-2/case-10 ]; then
  echo "run the build of deploy/balancer.toml and review/build-2.sh first" >&2
  exit 2
fi
exec bin/review-2/case-10
