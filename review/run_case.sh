#!/usr/bin/env bash
# Runs the program of the case in the folder $1 from the project's root, as the
# deploy file starts the router. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/.."
router=${ROUTER:-target/toucanwharfd}
if [ ! -x "$router" ] || [ ! -x "review/bin/case-$1" ]; then
  echo "the case couldn't run: build the deploy file and review/build.sh first"
  exit 2
fi
timeout --kill-after=5 110 "review/bin/case-$1" "review/$1/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
