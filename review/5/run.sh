#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run.  TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review/bed other-kind review/5/record.txt
