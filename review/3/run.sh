#!/bin/sh
# Plays the case and writes record.txt beside this script. TROUBLE=0 leaves the disruption out.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x review/.bin/rig ] || { echo "run review/build.sh first"; exit 2; }
exec review/.bin/rig lives "$here/record.txt"
