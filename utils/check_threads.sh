#!/usr/bin/env bash
# Runs the tests of the multithreaded code under ThreadSanitizer: the listener's
# threads, the event loop and the threads that post to it. All other code runs
# on one thread.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${JOBS:-$(nproc)}
cmake -S . -B build-tsan -G Ninja -Wno-dev -DTOUCANWHARF_SANITIZE=thread >/dev/null
ninja -C build-tsan -j "$jobs" --quiet test_transport
ctest --test-dir build-tsan --output-on-failure -R '^transport$' || utils/known_red.sh build-tsan
