#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -x "$root/target/mulberrybank" ] && [ -x "$root/target/review-2-harness" ] || { echo "build first"; exit 2; }
REVIEW_ROOT=$root REVIEW_RECORD=$PWD/record.txt exec "$root/target/review-2-harness" rollout
