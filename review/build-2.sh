#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/{6,7,8,9,10}; do
    [ -f "$folder/case.cc" ] || continue
    g++ -std=c++20 -O1 -pthread -Wall -Wextra -I review/rig-2 -x c++ "$folder/case.cc" \
        -o "target/review-2/case-$(basename "$folder")"
done
