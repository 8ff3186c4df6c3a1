#!/usr/bin/env bash
# Runs the formatter and the linter. With --fix, only reformats the files.
# Successful linter runs are cached by the hash of the source file, the project
# headers that it includes and the linter configuration, so that only affected
# files are linted again.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cache=${LINT_CACHE_DIR:-${XDG_CACHE_HOME:-$HOME/.cache}/toucanwharf-lint}
jobs=${JOBS:-$(nproc)}
mkdir -p "$cache"

sources() { git ls-files --cached --others --exclude-standard -- "$@" | grep -v '^lib/.*/generated/' || true; }

if [ "${1:-}" = --fix ]; then
  sources '*.cc' '*.h' | xargs -r clang-format -i
  exit 0
fi
sources '*.cc' '*.h' | xargs -r clang-format --dry-run -Werror

export build cache
# Prints the project's files that a source file depends on, itself first.
includes_of() {
  g++ -std=c++20 -MM -Iinclude -I. -Itools -Ilib/peers/generated "$1" |
    tr -d '\\' | tr ' ' '\n' | sed -n '2,$p' | grep -v '^$'
}
lint_one() {
  key=$(includes_of "$1" | xargs cat .clang-tidy | sha256sum | cut -c1-40)
  [ -e "$cache/$key" ] && return 0
  clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build" "$1" 2>/dev/null && touch "$cache/$key"
}
export -f includes_of
export -f lint_one
# Lints only files in the build's compile commands: a core-only build lints only
# the core.
sources '*.cc' | while read -r file; do
  grep -q "/$file\"" "$build/compile_commands.json" && echo "$file"
done | xargs -r -P "$jobs" -I{} bash -c 'lint_one {}'
echo "lint: clean"
