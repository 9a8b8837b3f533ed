#!/usr/bin/env bash
# Builds, lints and tests every module of the workspace.
set -euo pipefail
cd "$(dirname "$0")/.."
for dir in $(scripts/modules.sh); do
  (cd "$dir" && go build ./... && go vet ./...)
done
scripts/lint.sh
fail=0
for dir in $(scripts/modules.sh); do
  (cd "$dir" && go test -count=1 ./...) || fail=1
done
exit "$fail"
