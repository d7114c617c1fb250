#!/usr/bin/env bash
# Builds the stand-ins and the cases that the scripts start, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -c stand_ins/fleet.cpp -o bin/fleet.o
for source in [1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(dirname "$source")
  g++ -std=c++20 -O1 -Istand_ins "$source" bin/fleet.o -o "bin/case-$number" -lpthread &
done
for job in $(jobs -p); do wait "$job"; done
