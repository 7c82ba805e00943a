#!/bin/sh
# Builds what the cases of the second review start, beside target/marblepond (the deploy file's build).
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -o ../../target/review-2/standin-2 .
