#!/usr/bin/env bash
# Runs the case of a folder: run-case-2.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case could not run. TROUBLE=0 leaves the disruption out. The case writes record.txt in its folder.
set -uo pipefail
dir="$(cd "$1" && pwd)" || exit 2
cd "$dir/../.." || exit 2
program="target/review-$(basename "$dir")"
if [ ! -x target/cicadadyke ] || [ ! -x "$program" ]; then
  echo "run the build command of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
TROUBLE="${TROUBLE:-1}" timeout -k 2 115 "$program" "$dir/record.txt"
code=$?
case "$code" in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
