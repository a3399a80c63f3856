#!/usr/bin/env bash
# Builds into build-sanitized/ with the address and undefined-behaviour sanitizers, and runs the tests there. Fails on any finding,
# also in a program that a test starts. Arguments are passed to ctest, for example -R run_planner.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build-sanitized
findings=$PWD/$build/findings
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1 CCACHE_SLOPPINESS=time_macros,include_file_mtime,include_file_ctime
cmake -S . -B "$build" -G Ninja -DGOLDCREST_SANITIZE=address,undefined,float-cast-overflow >/dev/null
cmake --build "$build" -j "${JOBS:-8}"
rm -rf "$findings"
mkdir "$findings"
# Uses of the stack after a return are not checked, since that makes the tests about 30 times as slow.
export ASAN_OPTIONS=halt_on_error=1:detect_leaks=1:check_initialization_order=1:detect_stack_use_after_return=0:log_path=$findings/report
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1:log_path=$findings/report
status=0
(cd "$build" && ctest --output-on-failure -j "${TEST_JOBS:-4}" "$@") || status=$?
for report in "$findings"/*; do
  [ -e "$report" ] || continue
  cat "$report"
  status=1
done
exit "$status"
