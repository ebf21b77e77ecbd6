#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Run it after the build of the deploy file.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "$root/target/review-2/harness" "$root/review/stand-ins-2/Harness.cpp"
