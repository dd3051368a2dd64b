#!/bin/sh
# Asks for the upkeep of machines whose work items last; see claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
. review/bed-3/env.sh
[ -x "$BED_3/emptied" ] || exit 2
exec "$BED_3/emptied" target/daemon/cuminpind "$here/record.txt"
