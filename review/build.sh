#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/build.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p build
c++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -o build/fleet standins/Fleet.cpp
