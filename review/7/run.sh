#!/bin/sh
# Case 7: see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/lab stop . review/7/record.txt
