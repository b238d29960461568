#!/usr/bin/env bash
# A submission without an answer is cancelled while its entry machine stands still.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3 ] && [ -x target/apricotrouterd ] || exit 2
exec target/review-3 -case cancel -record review/13/record.txt
