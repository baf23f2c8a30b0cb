#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays the same for as long without the disruption.
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.." || exit 2
[ -x target/oriolevalve-node ] && [ -x "target/review/${case_dir##*/}" ] || { echo "not built" >&2; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
# The program takes the place of this shell, so signals reach it. It ends its hosts when it ends.
exec "target/review/${case_dir##*/}" --trouble="$trouble" --record "$case_dir/record.txt"
