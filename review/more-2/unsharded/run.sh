#!/usr/bin/env bash
# Workers reject part of their requests, in a deployment none of whose services is divided by key.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 there is no disruption.
# Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../../.."
if [ ! -x target/rosemarywick ] || [ ! -x target/review-2/lab ]; then
  echo "not built" >&2
  exit 2
fi
exec target/review-2/lab unsharded-retries review/more-2/unsharded/record.txt
