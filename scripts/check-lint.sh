#!/usr/bin/env bash
# Runs clang-tidy on all source files, or on those given.
# Needs build/compile_commands.json. Results are cached by the hash of the preprocessed file and the settings.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
cache=${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/goldcrest-lint}
mkdir -p "$cache"
export build cache
lint_one() {
  local key
  key=$( (cat .clang-tidy; clang-tidy --version; cat "$1"; c++ -MM -std=c++17 -I. -DASIO_STANDALONE -D_WEBSOCKETPP_CPP11_STL_ "$1" |
    tr ' \\' '\n\n' | grep -E '^(goldcrest|platform|testing|programs|standins)/' | sort -u | xargs cat) | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  clang-tidy -p "$build" --quiet "$1" 2>/dev/null && touch "$cache/$key"
}
export -f lint_one
if [ "$#" -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files -co --exclude-standard '*.cc'); fi
printf '%s\n' "${files[@]}" | xargs -P "${JOBS:-8}" -I{} bash -c 'lint_one "$1"' _ {}
