#!/usr/bin/env bash
# Installs the compiler tools and libraries that the build and the tests need.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy git
  librestinio-dev libfmt-dev libwebsocketpp-dev libasio-dev libboost-dev libcxxopts-dev libgoogle-glog-dev
  cpputest libcpputest-dev nlohmann-json3-dev libcurl4-openssl-dev libssl-dev libmsgsl-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
