#!/usr/bin/env bash
# An evacuation is taken back and ordered again while a machine of the core stands still.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3 ] && [ -x target/apricotrouterd ] || exit 2
exec target/review-3 -case evacuation -record review/12/record.txt
