#!/bin/bash
# Builds the stand-ins of the second review into target/review-2. Run it after
# the build of the deploy file. The files of review/standin are used as they
# are.
set -eu
cd "$(dirname "$0")/.."
Out=target/review-2
Flags="-std=c++20 -O2 -Wall -Wextra -pthread"
mkdir -p "$Out"
for Part in Stage Target; do
  g++ $Flags -c -o "$Out/$Part.o" "review/standin/$Part.cpp"
done
g++ $Flags -o "$Out/configuration-storm" review/standin-2/ConfigurationStorm.cpp
g++ $Flags -o "$Out/crash-by-caller" review/standin-2/CrashByCaller.cpp \
  "$Out/Stage.o" "$Out/Target.o"
