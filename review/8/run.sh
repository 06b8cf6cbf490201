#!/usr/bin/env bash
# One connection to the store falls silent in the middle of a response; 3.6 s later a worker reports that it is draining.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 there is no disruption.
# Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x target/rosemarywick ] || [ ! -x target/review-2/lab ]; then
  echo "not built" >&2
  exit 2
fi
exec target/review-2/lab stalled-feed review/8/record.txt
