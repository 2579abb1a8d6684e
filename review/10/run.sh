#!/usr/bin/env bash
# Plays the case once: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/review/standin-2/bin/standin2
if [ ! -x "$program" ] || [ ! -x "$root/bin/cloverrock" ]; then
  echo "build the project by its deploy file, and then the stand-ins by review/build-2.sh" >&2
  exit 2
fi
exec "$program" watch --root "$root" --record "$here/record.txt"
