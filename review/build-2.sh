#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Needs only
# the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
for part in http fleet; do
  "${CXX:-g++}" "${flags[@]}" -c "review/stand_ins_2/$part.cpp" -o "$out/$part.o"
done
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -e "$source" ] || continue
  "${CXX:-g++}" "${flags[@]}" "$source" "$out/http.o" "$out/fleet.o" \
    -o "$out/case-$(basename "$(dirname "$source")")"
done
