#!/usr/bin/env bash
# Installs what is missing, builds, and shows a system of the Régie's sizes with stand-ins for the store and the backend servers.
# Everything that it starts is stopped at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh build
GOLDCREST_BUILD_DIR=build exec build/goldcrest-demo-standin
