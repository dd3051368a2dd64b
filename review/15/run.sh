#!/bin/sh
# Asks for a queue's pending jobs while configs come; see claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
. review/bed-3/env.sh
[ -x "$BED_3/pending" ] || exit 2
exec "$BED_3/pending" target/daemon/cuminpind "$here/record.txt"
