#!/bin/sh
# Starts a front node, from the repository's root, in a JVM that fits into the memory that its configuration states.
# Danger: a heap that grows into its bound by and by looks like a leak; it has its whole size from the start.
memory_mb=$(sed -n 's/.*"memory_mb"[^0-9]*\([0-9]*\).*/\1/p' "${BALANCER_CONFIG:-/dev/null}" | head -n 1)
# About 40 MB go into the JVM itself, code, classes and buffers; half of the rest stays free.
heap_mb=$(( (${memory_mb:-144} - 48) / 2 ))
[ "$heap_mb" -le 48 ] || heap_mb=48
[ "$heap_mb" -ge 10 ] || heap_mb=10
# One arena: threads that allocate by turns would each keep memory of their own.
export MALLOC_ARENA_MAX=1
# Nobody looks at the JVM's management, and what XNIO registers with it took a tenth of a second of each start.
exec java -Djavax.management.builder.initial=none -XX:-UsePerfData -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -Xshare:auto -XX:SharedArchiveFile=node/target/spartrail.jsa \
    -Xms${heap_mb}m -Xmx${heap_mb}m -XX:+AlwaysPreTouch -Xss512k \
    -XX:MaxDirectMemorySize=12m -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=16m -XX:+ExitOnOutOfMemoryError \
    -jar node/target/spartrail.jar serve "$@"
