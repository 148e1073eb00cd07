#!/bin/sh
# Answers of index servers arrive with a length that does not fit; a client gets a wrong value.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f node/target/spartrail.jar ] && [ -f review/rig-2/classes/SpoiltLength.class ] || exit 2
exec java -Xmx512m -cp review/rig-2/classes SpoiltLength review/6/record.txt
