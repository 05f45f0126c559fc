#!/bin/sh
# Runs the case after the build of deploy/balancer.toml and review/build.sh.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
case_program=review/target/case-3
if [ ! -x "$case_program" ] || [ ! -x target/release/sloewick ]; then
    echo "build first: cargo build --release --locked && review/build.sh"
    exit 2
fi
exec "$case_program" review/3
