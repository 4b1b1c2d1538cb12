#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sagevale ] && [ -x target/review-2/case-6 ] || { echo "build first"; exit 2; }
exec target/review-2/case-6
