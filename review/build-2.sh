#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/review-2, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++17 -O1 -Wall -Wextra -I. -DASIO_STANDALONE -D_WEBSOCKETPP_CPP11_STL_)
sources=(review/stage-2/cases.cc review/stage-2/stage.cc review/stage-2/backend.cc
  standins/kv_service.cc standins/store_model.cc testing/process_support.cc testing/soak_network_support.cc)
objects=()
running=()
for source in "${sources[@]}"; do
  object=target/review-2/$(basename "$source" .cc).o
  objects+=("$object")
  c++ "${flags[@]}" -c "$source" -o "$object" &
  running+=($!)
done
for one in "${running[@]}"; do wait "$one"; done
c++ "${objects[@]}" target/libgoldcrest_platform.a target/libgoldcrest.a -lcurl -lcrypto -lglog -lfmt -lhttp_parser -lpthread \
  -o target/review-2/stage
