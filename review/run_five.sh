#!/usr/bin/env bash
# Runs the script of the case $1 five times with the disruption and $2 times
# (default 2) without it, and prints the exit codes.
set -u
cd "$(dirname "$0")"
for i in 1 2 3 4 5; do "$1/run.sh" > /dev/null; echo "case $1, run $i: exit $?"; done
for i in $(seq "${2:-2}"); do
  TROUBLE=0 "$1/run.sh" > /dev/null; echo "case $1, TROUBLE=0, run $i: exit $?"
done
"$1/run.sh"
