#!/bin/sh
# Builds the stand-ins and clients of the cases 11 to 15, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/_lab3
