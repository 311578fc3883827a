#!/usr/bin/env bash
# Builds the programs of the cases of the second review into target/. The routers come from the build
# command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for dir in review/6 review/7 review/8 review/9 review/10; do
  if [ -f "$dir/main.go" ]; then
    go build -trimpath -o "target/review-${dir#review/}" "./$dir"
  fi
done
