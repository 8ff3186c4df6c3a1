#!/usr/bin/env bash
# Runs all checks required before a change is merged: formatter, linter, build
# with -Werror, all tests, the tests of the libraries without I/O under ASan and
# UBSan, and the multithreaded tests under TSan. Needs Debian 12 and installs
# missing packages. The last lines are ctest's summary of the main build.
set -euo pipefail
cd "$(dirname "$0")/.."
utils/install_packages.sh
jobs=${JOBS:-$(nproc)}
export RC_PARAMS="seed=20261202"

configure() { cmake -S . -B "$@" -G Ninja -Wno-dev >/dev/null; }

step() { printf '== %s (%ss)\n' "$1" "$SECONDS"; }

step "build"
configure build
ninja -C build -j "$jobs" --quiet
step "format and lint"
utils/lint.sh
step "ASan and UBSan: libraries without I/O"
configure build-asan -DTOUCANWHARF_CORE_ONLY=ON -DTOUCANWHARF_SANITIZE=address,undefined
ninja -C build-asan -j "$jobs" --quiet
ctest --test-dir build-asan --output-on-failure -j "$jobs" || utils/known_red.sh build-asan
if [ -x utils/check_threads.sh ]; then
  step "TSan: multithreaded code"
  utils/check_threads.sh
fi
step "all tests"
ctest --test-dir build --output-on-failure -j "${TEST_JOBS:-4}" || utils/known_red.sh build
