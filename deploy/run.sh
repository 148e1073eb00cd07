#!/bin/sh
# Starts a front node, from the repository's root, in a JVM that fits into the memory that its configuration states.
# Danger: a heap that grows into its bound by and by looks like a leak; it has its whole size from the start.
# The shell reads the file itself. Danger: where starting other programs is refused, as on some operators' machines, a
# limit that is read through a pipe of them is not read at all, and the JVM is sized for a limit that does not hold.
memory_mb=
if [ -f "${BALANCER_CONFIG:-}" ] && [ -r "$BALANCER_CONFIG" ]; then
    while [ -z "$memory_mb" ] && { IFS= read -r line || [ -n "$line" ]; }; do
        case $line in
        *'"memory_mb"'*)
            line=${line#*'"memory_mb"'}
            line=${line#"${line%%[0-9]*}"}
            memory_mb=${line%%[!0-9]*}
            ;;
        esac
    done < "$BALANCER_CONFIG"
fi
# Danger: a JVM that has no room to start in dies in its own words, or hangs.
if [ -n "$memory_mb" ] && [ "$memory_mb" -lt 16 ]; then
    echo "limits.memory_mb: found $memory_mb, 16 or more is expected for a JVM to start in" >&2
    exit 2
fi
# About 40 MB go into the JVM itself, code, classes and buffers; half of the rest stays free.
heap_mb=$(( (${memory_mb:-144} - 48) / 2 ))
[ "$heap_mb" -le 48 ] || heap_mb=48
[ "$heap_mb" -ge 10 ] || heap_mb=10
# One arena: threads that allocate by turns would each keep memory of their own.
export MALLOC_ARENA_MAX=1
# Danger: a JVM leaves SIGHUP ignored that was so at its start, as below nohup or a service manager, and would take no new
# configuration. No shell can undo that for what it executes; env can, in the same process. Only then is env gone through, so
# that a system without the GNU one starts as before. The mask of ignored signals is hexadecimal, SIGHUP its lowest bit.
with_hup=
if [ -r /proc/self/status ]; then
    while read -r name mask; do
        case $name$mask in
        SigIgn:*[13579bdf]) with_hup="env --default-signal=HUP" ;;
        esac
    done < /proc/self/status
fi
# Nobody looks at the JVM's management, and what XNIO registers with it took a tenth of a second of each start.
exec $with_hup java -Djavax.management.builder.initial=none -XX:-UsePerfData -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -Xshare:auto -XX:SharedArchiveFile=node/target/spartrail.jsa \
    -Xms${heap_mb}m -Xmx${heap_mb}m -XX:+AlwaysPreTouch -Xss512k \
    -XX:MaxDirectMemorySize=12m -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=16m -XX:+ExitOnOutOfMemoryError \
    -jar node/target/spartrail.jar serve "$@"
