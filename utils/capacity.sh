#!/usr/bin/env bash
# Measures what control costs each router, at several sizes of the fleet, with
# real processes on loopback, and prints the tables of docs/CAPACITY.md. Takes
# about 8 minutes; arguments go to bench_capacity (see --help).
set -euo pipefail
cd "$(dirname "$0")/.."
utils/install_packages.sh
cmake -S . -B build -G Ninja -Wno-dev >/dev/null
ninja -C build -j "${JOBS:-$(nproc)}" --quiet bench_capacity toucanwharfd toucanwharf_router \
  standin_platform standin_engine standin_relay
printf 'machine: %s cores, %s MiB; load before: %s\n' "$(nproc)" \
  "$(awk '/MemTotal/ {print int($2 / 1024)}' /proc/meminfo)" \
  "$(cut -d' ' -f1-3 /proc/loadavg)"
build/bench_capacity "$@"
