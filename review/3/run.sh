#!/bin/bash
# Plays case 3. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/bin/ternstage" ] || { echo "bin/ternstage is missing: run make build" >&2; exit 2; }
[ -x "$here/../bin/standin" ] || "$here/../build.sh" >&2 || exit 2
exec "$here/../bin/standin" spoilt-over-flight "$root" "$here/record.txt"
