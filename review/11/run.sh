#!/usr/bin/env bash
# A runner that left a start unanswered crashes, and carries it out when it is back under its id.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3 ] && [ -x target/apricotrouterd ] || exit 2
exec target/review-3 -case reborn -record review/11/record.txt
