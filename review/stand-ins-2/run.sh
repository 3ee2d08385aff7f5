#!/bin/sh
# Runs one case: stand-ins-2/run.sh FOLDER PROGRAM. Exit code 1: the rule was broken; 0: it held; 2: it could not run.
case_folder=$(cd "$1" && pwd) || exit 2
ROOT=$(cd "$case_folder/../.." && pwd) || exit 2
program=$ROOT/target/review-2/release/$2
if [ ! -x "$program" ] || [ ! -x "$ROOT/target/release/ottersail" ]; then
    echo "not built: run the build of the deploy file and review/build-2.sh" >&2
    exit 2
fi
FOLDER=$(mktemp -d) || exit 2
trap 'rm -rf "$FOLDER"' EXIT
export ROOT FOLDER RECORD="$case_folder/record.txt"
timeout -s KILL 115 "$program"
code=$?
case $code in
    0 | 1 | 2) exit "$code" ;;
    *) exit 2 ;;
esac
