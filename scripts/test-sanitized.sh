#!/usr/bin/env bash
# Builds into build-sanitized/ with the address and undefined-behaviour sanitizers, and runs the tests there. Any finding fails
# its test. Arguments are passed to ctest, for example -R run_planner.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build-sanitized
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1 CCACHE_SLOPPINESS=time_macros,include_file_mtime,include_file_ctime
cmake -S . -B "$build" -G Ninja -DGOLDCREST_SANITIZE=address,undefined,float-cast-overflow >/dev/null
cmake --build "$build" -j "${JOBS:-8}"
export ASAN_OPTIONS=halt_on_error=1:abort_on_error=0:detect_leaks=1:check_initialization_order=1:detect_stack_use_after_return=1
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
cd "$build" && ctest --output-on-failure -j "${TEST_JOBS:-4}" "$@"
