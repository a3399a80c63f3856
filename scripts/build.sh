#!/usr/bin/env bash
# Builds everything into build/ (or the folder named by the first argument).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
# Lets checkouts in different folders share compiler results.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1 CCACHE_SLOPPINESS=time_macros,include_file_mtime,include_file_ctime
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "${JOBS:-8}"
