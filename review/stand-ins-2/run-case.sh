#!/bin/sh
# run-case.sh NAME FOLDER: runs a case of `cases` and ends all that it started. Exit status: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/cases
if [ ! -x "$program" ] || [ ! -x target/release/sloewick ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
# Ends nodes that the program could not end itself, since it was ended before. An id may stand for another process by then.
finish() {
    if [ -f "$CASE_TMP/pids" ]; then
        while read -r pid; do
            grep -aqs sloewick "/proc/$pid/cmdline" && kill -KILL "$pid" 2>/dev/null
        done <"$CASE_TMP/pids"
    fi
    rm -rf "$CASE_TMP"
}
trap finish EXIT
ulimit -n 4096 2>/dev/null
timeout -k 2 110 "$program" "$1" "$2" &
child=$!
trap 'kill "$child" 2>/dev/null; wait "$child"; exit 2' INT TERM
wait "$child"
code=$?
tail -n 3 "$2/record.txt"
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
