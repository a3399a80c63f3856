#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review into target/review-3/. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++17 -O1 -I. -DASIO_STANDALONE -D_WEBSOCKETPP_CPP11_STL_)
libraries=(target/libgoldcrest_platform.a target/libgoldcrest.a -lcurl -lcrypto -lglog -lfmt -lhttp_parser -lpthread)
shared=(review/stage-3/scene.cc testing/process_support.cc testing/soak_network_support.cc
  standins/kv_service.cc standins/store_model.cc)
objects=()
pids=()
for source in "${shared[@]}" review/1[1-5]/case.cc; do
  [ -e "$source" ] || continue
  object=$out/$(echo "${source%.cc}" | tr / _).o
  c++ "${flags[@]}" -c "$source" -o "$object" & pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in "${shared[@]}"; do objects+=("$out/$(echo "${source%.cc}" | tr / _).o"); done
for source in review/1[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  c++ "$out/review_${number}_case.o" "${objects[@]}" "${libraries[@]}" -o "$out/case-$number"
done
