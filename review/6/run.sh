#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x target/burdockreach && test -x target/review-standin-2 || exit 2
exec target/review-standin-2 list review/6
