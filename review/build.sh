#!/usr/bin/env bash
# Builds the stand-ins and the cases' programs into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Istandins)
shared=(standins/http.cc standins/store.cc standins/deployment.cc)
g++ "${flags[@]}" standins/runner.cc standins/http.cc -o bin/runner
g++ "${flags[@]}" standins/engine.cc standins/http.cc -o bin/engine
for folder in [0-9]*; do
  [ -e "$folder/case.cc" ] || continue
  g++ "${flags[@]}" "$folder/case.cc" "${shared[@]}" -o "bin/case-$folder"
done
