#!/usr/bin/env bash
# Checks that no goroutine is started by a bare go statement, and runs golangci-lint
# with its formatter checks on every module.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
mkdir -p bin

lint=$root/bin/golangci-lint
want=$(cd tools && GOWORK=off go list -m -f '{{.Version}}' github.com/golangci/golangci-lint/v2)
if [ "$(cat bin/golangci-lint.version 2>/dev/null)" != "$want" ]; then
  (cd tools && GOWORK=off go build -o "$lint" github.com/golangci/golangci-lint/v2/cmd/golangci-lint)
  echo "$want" >bin/golangci-lint.version
fi

fail=0
bare=$(git grep -nE '^[[:space:]]*go (func|[a-zA-Z_.]+\()' -- '*.go' ':!pkg/group' || true)
if [ -n "$bare" ]; then
  echo "goroutines are started through pkg/group, not by a bare go statement:"
  echo "$bare"
  fail=1
fi
for dir in $(scripts/modules.sh); do
  (cd "$dir" && "$lint" run --config "$root/.golangci.yml" ./...) || fail=1
done
exit "$fail"
