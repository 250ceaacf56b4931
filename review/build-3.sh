#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs only
# the compiler. The daemons come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
Sources=review/standin-3
for Case in EarlyReset ForgottenDeparture HeldDownload; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I "$Sources" \
    -o "target/review-3/$Case" "$Sources/$Case.cpp" "$Sources/Stage.cpp"
done
