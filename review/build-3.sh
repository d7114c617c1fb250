#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3/.
# Uses the packages that deploy/system.toml names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand_ins_3/case_*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -g -Wall -Wextra -include boost/json/src.hpp \
    -o "target/review-3/$name" "$source" -pthread
done
