#!/usr/bin/env bash
# Builds, lints and tests every module of the workspace.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
# Tests that measure a process run one at a time, after the others.
measured='^Test(Crowd|AnswersWithoutEnd)$'

# Prints the -skip pattern of a module: one alternative for each of its tests in
# KNOWN-RED.txt. Each level of a subtest's name is anchored, so that no other test matches.
red() { # module
  awk -v module="$1" '$1 == module && $2 ~ /^Test/ {gsub("/", "$/^", $2); print "^" $2 "$"}' KNOWN-RED.txt | paste -sd '|'
}

for dir in $(scripts/modules.sh); do
  (cd "$dir" && go build ./... && go vet ./...)
done
scripts/lint.sh
fail=0
for dir in $(scripts/modules.sh); do
  module=${dir#"$root"}
  module=${module#/}
  module=${module:-.}
  skip=$(red "$module")
  [ -z "$skip" ] || echo "known red, not run in $module: $skip"
  (cd "$dir" && go test -count=1 -skip "${skip:+$skip|}$measured" ./...) || fail=1
done
while read -r module package; do
  skip=$(red "$module")
  [ -z "$skip" ] || echo "known red, not run in $module: $skip"
  (cd "$module" && go test -count=1 -run "$measured" -skip "$skip" "$package") || fail=1
done <<LIST
. ./platform
emul/system .
LIST
exit "$fail"
