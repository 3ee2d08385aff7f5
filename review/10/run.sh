#!/bin/sh
# See claim.txt beside this file. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../stand-ins-2/run.sh" "$here" case_taken_back
