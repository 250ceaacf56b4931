#!/usr/bin/env bash
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the planned stop out.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
exec target/review/DownloadAtStop "$PWD" review/2/record.txt
