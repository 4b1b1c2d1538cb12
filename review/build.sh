#!/usr/bin/env bash
# Builds every stand-in that a case's script starts, into target/review. It needs no network beyond what the deploy build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for dir in review/[0-9]*/driver; do
  n=$(basename "$(dirname "$dir")")
  go build -tags review -o "target/review/case$n" "./$dir"
done
