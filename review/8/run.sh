#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0: the other caller asks for another path.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/crash-by-caller ] || exit 2
exec target/review-2/crash-by-caller "$PWD" review/8/record.txt
