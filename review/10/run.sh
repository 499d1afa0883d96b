#!/bin/sh
# Case 10: see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/lab parts . review/10/record.txt
