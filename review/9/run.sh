#!/bin/sh
# Bad clients send hundreds of requests at once and go; requests of usual clients are never answered.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f node/target/spartrail.jar ] && [ -f review/rig-2/classes/LeavingClients.class ] || exit 2
exec java -Xmx512m -cp review/rig-2/classes LeavingClients review/9/record.txt
