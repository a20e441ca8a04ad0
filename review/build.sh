#!/usr/bin/env bash
# Builds the stand-ins that the cases of this review start, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c rig/Rig.cc -o bin/Rig.o
g++ "${flags[@]}" rig/free-ports.cc -o bin/free-ports
for source in [1-5]/case.cc; do
    [ -f "$source" ] || continue
    g++ "${flags[@]}" "$source" bin/Rig.o -o "bin/case-$(dirname "$source")"
done
