#!/usr/bin/env bash
# Measures the cost of the control plane per router at several fleet sizes, with
# real processes on loopback, and prints the tables of docs/CAPACITY.md. Takes
# about 8 minutes. Arguments are passed to bench_capacity (see --help).
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
