#!/usr/bin/env bash
# Builds the stand-ins of the script cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/stand"
mkdir -p ../../target/review
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review/stand .
