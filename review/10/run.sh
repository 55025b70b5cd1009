#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
# TROUBLE=0 it does the same without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -x target/lacewingyard ] && [ -x target/review-2/harness2 ] || { echo "build the project and review/build-2.sh first" >&2; exit 2; }
exec target/review-2/harness2 -case refused -record review/10/record.txt
