#!/usr/bin/env bash
# ThreadSanitizer on the tests of the code in which threads meet: the listener's
# threads, the event loop and whoever posts to it. All else runs on one thread.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${JOBS:-$(nproc)}
cmake -S . -B build-tsan -G Ninja -Wno-dev -DTOUCANWHARF_SANITIZE=thread >/dev/null
ninja -C build-tsan -j "$jobs" --quiet test_transport
ctest --test-dir build-tsan --output-on-failure -R '^transport$' || utils/known_red.sh build-tsan
