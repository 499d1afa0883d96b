#!/bin/sh
# Case 6: see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/lab service . review/6/record.txt
