#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/wtdata target/wtcore target/review-standin; do
  [ -x "$program" ] || { echo "$program is missing: run the deploy file's build command and review/build.sh" >&2; exit 2; }
done
exec target/review-standin held-end review/3
