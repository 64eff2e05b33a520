#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-3/scenes3 \
  review/standins-3/scenes.cc
