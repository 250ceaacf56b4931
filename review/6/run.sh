#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0: as many changes, each of one route only.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/configuration-storm ] || exit 2
exec target/review-2/configuration-storm target/tools/daemon \
  deploy/control.ini review/6/record.txt
