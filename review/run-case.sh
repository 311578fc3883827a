#!/usr/bin/env bash
# Runs the case whose folder is the argument: exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. With TROUBLE=0 there is no disruption.
set -uo pipefail
folder=$(cd "$1" && pwd) && cd "$folder/../.." || exit 2
program="target/review/case-$(basename "$folder")"
router=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
if [ ! -x "$program" ] || [ ! -x "${router%% *}" ]; then
  echo "build first: the build command of deploy/system.toml, then review/build.sh"
  exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout --signal=TERM --kill-after=2 115 "$program" "$folder/record.txt" "$router" "$temporary"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
