#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review, after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++17 -O1 -I. -DASIO_STANDALONE -D_WEBSOCKETPP_CPP11_STL_)
shared=(review/stage/stage.cc review/stage/plain_http.cc testing/process_support.cc standins/kv_service.cc standins/store_model.cc)
objects=()
pids=()
for source in "${shared[@]}"; do
  object=$out/$(basename "$source" .cc).o
  objects+=("$object")
  if [ ! -e "$object" ] || [ -n "$(find goldcrest platform standins testing review/stage -name '*.h' -newer "$object" -print -quit)" ] ||
    [ "$source" -nt "$object" ]; then
    c++ "${flags[@]}" -c "$source" -o "$object" &
    pids+=("$!")
  fi
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/[0-9]/case.cc; do
  name=case-$(basename "$(dirname "$source")")
  c++ "${flags[@]}" "$source" "${objects[@]}" target/libgoldcrest_platform.a target/libgoldcrest.a \
    -lcurl -lcrypto -lglog -lfmt -lhttp_parser -lpthread -o "$out/$name"
done
