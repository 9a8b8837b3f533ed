#!/usr/bin/env bash
# Prints the directories of the modules in the workspace, one per line.
set -euo pipefail
cd "$(dirname "$0")/.."
go list -m -f '{{.Dir}}'
