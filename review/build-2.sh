#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10.
set -euo pipefail
cd "$(dirname "$0")/stand2"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-stand2 .
