#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review/stand ] || exit 2
exec ../../target/review/stand stop ../.. .
