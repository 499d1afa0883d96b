#!/bin/sh
# Case 9: see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/lab tenants . review/9/record.txt
