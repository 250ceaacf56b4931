#!/usr/bin/env bash
# Builds the stand-ins of the review cases into target/review. The daemons come
# from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
Out=target/review
mkdir -p "$Out"
Flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
Parts=(Stage Target)
Objects=()
for Name in "${Parts[@]}"; do
  g++ "${Flags[@]}" -c "review/standin/$Name.cpp" -o "$Out/$Name.o"
  Objects+=("$Out/$Name.o")
done
for Source in review/standin/*.cpp; do
  Name=$(basename "$Source" .cpp)
  case " ${Parts[*]} " in *" $Name "*) continue ;; esac
  g++ "${Flags[@]}" "$Source" "${Objects[@]}" -o "$Out/$Name"
done
