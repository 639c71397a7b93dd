#!/bin/sh
# Plays the case watch. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. First run the build of the deploy file and review/build-2.sh.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
[ -x bin/ternstage ] && [ -x bin/standin-2 ] || { echo "build first"; exit 2; }
exec bin/standin-2 watch "$folder"
