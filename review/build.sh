#!/bin/sh
# Builds the stand-in that the scripts of the cases start, beside the project's own program.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
