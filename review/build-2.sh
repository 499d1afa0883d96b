#!/bin/sh
# Builds the driver and the stand-ins of the scripts under review/6 and later, after the build of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/lab ./review/_lab2
