#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.." || exit 2
[ -x target/oriolevalve-node ] && [ -x "target/review/${case_dir##*/}" ] || { echo "not built" >&2; exit 2; }
exec "target/review/${case_dir##*/}" --record "$case_dir/record.txt"
