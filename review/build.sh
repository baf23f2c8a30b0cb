#!/usr/bin/env bash
# Builds the stand-ins of all cases.
set -euo pipefail
cd "$(dirname "$0")/.."
for dir in review/[0-9]; do
  if [ -f "$dir/main.go" ]; then go build -tags review -o "target/review/${dir##*/}" "./$dir"; fi
done
