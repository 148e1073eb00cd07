#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f node/target/spartrail.jar ] && [ -f review/classes/Case3.class ] || {
    echo "run the build of deploy/balancer.toml and review/build.sh first" >&2
    exit 2
}
exec java -Xmx512m -cp review/classes Case3
