#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. The host itself is built as deploy/system.toml
# says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/ ./review/standins-2
