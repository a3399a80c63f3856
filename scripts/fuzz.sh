#!/usr/bin/env bash
# Fuzzes the decoders of outside bytes with libFuzzer (Debian: clang, libclang-rt-14-dev) for a time in seconds, 60 without
# an argument. Builds into build-fuzz/, where it keeps the inputs that it found; crash-* there is an input that failed.
# Not part of CI. A failed input becomes a case in the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-60}
build=build-fuzz
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1 CCACHE_SLOPPINESS=time_macros,include_file_mtime,include_file_ctime
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DGOLDCREST_FUZZER=ON >/dev/null
cmake --build "$build" -j "${JOBS:-8}" --target decoder_fuzzer
mkdir -p "$build/inputs"
"$build/decoder_fuzzer" --write-seeds "$build/inputs"
UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1 "$build/decoder_fuzzer" -max_total_time="$seconds" -max_len=4096 \
  -timeout=10 -rss_limit_mb=2048 -artifact_prefix="$build/" -print_final_stats=1 "$build/inputs"
