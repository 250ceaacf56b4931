#!/bin/bash
# Builds the stand-ins of the second review into target/review-2. Run it after
# the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-2/configuration-storm \
  review/standin-2/ConfigurationStorm.cpp
