#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/skylarkedge ] && [ -x build/review-2/rig2 ] || exit 2
exec build/review-2/rig2 blame review/9/record.txt
