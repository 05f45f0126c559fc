#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../stand-ins-2/run-case.sh" linger review/9
