#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/ottersail review/standins/target/release/ottersail-review; do
    [ -x "$program" ] || { echo "$program is missing: build it first" >&2; exit 2; }
done
exec review/standins/target/release/ottersail-review silent review/1
