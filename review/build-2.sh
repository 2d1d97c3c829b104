#!/usr/bin/env bash
# Builds the stand-ins of the cases of this review (6 and up) in target/review-2. They need nothing but the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in tag_collision address_reuse; do
    g++ -std=c++20 -O2 -Wall -Wextra -o "target/review-2/$program" "review/standin-2/$program.cpp" review/standin-2/world.cpp
done
