#!/usr/bin/env bash
# Requests on open connections, 4 s after the SIGTERM of their daemon, in a deployment with a graceS of 10.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 there is no disruption.
# Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x target/rosemarywick ] || [ ! -x target/review-2/lab ]; then
  echo "not built" >&2
  exit 2
fi
exec target/review-2/lab late-requests review/7/record.txt
