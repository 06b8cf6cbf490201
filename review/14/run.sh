#!/bin/sh
# Plays the case after the build of the deploy file and review/build-3.sh. Exits with 1 if the rule was broken, 0 if it held and 2
# if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -x "$root/target/rosemarywick" ] && [ -x "$root/target/lab3" ] || exit 2
exec "$root/target/lab3" turned-away "$root" "$folder"
