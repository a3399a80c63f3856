#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case_directory=$(cd "$(dirname "$0")" && pwd)
cd "$case_directory/../.."
program=target/review/case-$(basename "$case_directory")
[ -x "$program" ] || exit 2
GOLDCREST_BUILD_DIR=target timeout -k 2 120 "$program" "$case_directory"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
