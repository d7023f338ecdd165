#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review-classes
rm -rf "$out"
mkdir -p "$out"
javac -Xlint:all -Werror -d "$out" standin/src/review/*.java
