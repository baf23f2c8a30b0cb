#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-3"
go build -o ../../target/standins3 .
