#!/usr/bin/env bash
# Builds the programs that the scripts of cases 4 to 6 start, with their
# stand-ins, into review/standins-2/bin. The routers come from the build of the
# deploy file. Needs g++ and the headers of nlohmann-json3-dev.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p bin
for part in http fleet; do
  g++ -std=c++20 -O1 -pthread -c "$part.cc" -o "bin/$part.o"
done
for program in *.cc; do
  name=${program%.cc}
  [ "$name" = http ] || [ "$name" = fleet ] && continue
  g++ -std=c++20 -O1 -pthread "$program" bin/http.o bin/fleet.o -o "bin/$name"
done
