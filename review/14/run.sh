#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/case-14 ] && [ -x target/boragepathd-platform ] || exit 2
exec target/review-3/case-14 review/14/record.txt
