#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[1-9]/main.go; do
  case=$(basename "$(dirname "$main")")
  go build -o "target/review/case-$case" "./review/$case"
done
