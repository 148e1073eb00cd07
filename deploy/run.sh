#!/bin/sh
# Starts a front node, from the repository's root, in a JVM that fits into the memory stated in its configuration.
# The heap has its full size from the start, as a heap that grows slowly to its limit looks like a memory leak.
# The shell reads the file itself. Some operators' machines do not allow it to start other programs: a pipe of them would
# read no limit there, and the JVM would be sized for a limit that does not apply.
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
# With less memory than this, the JVM would hang at its start, or exit with a message that does not name the setting.
if [ -n "$memory_mb" ] && [ "$memory_mb" -lt 16 ]; then
    echo "limits.memory_mb: found $memory_mb, 16 or more is expected for a JVM to start in" >&2
    exit 2
fi
# The JVM itself, code, classes and buffers take about 40 MB; half of the rest stays free.
heap_mb=$(( (${memory_mb:-144} - 48) / 2 ))
[ "$heap_mb" -le 48 ] || heap_mb=48
[ "$heap_mb" -ge 10 ] || heap_mb=10
# One malloc arena, as with several of them each thread that allocates would keep memory of its own.
export MALLOC_ARENA_MAX=1
# A JVM keeps ignoring SIGHUP if it was ignored when it started, as under nohup or a service manager, and would then never
# reload its configuration. A shell cannot reset an ignored signal for the programs that it executes, but GNU env can, in
# the same process. Env is used only in this case, so that a system without GNU env can start the node in all others.
# The mask of ignored signals is hexadecimal; SIGHUP is its lowest bit.
with_hup=
if [ -r /proc/self/status ]; then
    while read -r name mask; do
        case $name$mask in
        SigIgn:*[13579bdf]) with_hup="env --default-signal=HUP" ;;
        esac
    done < /proc/self/status
fi
# JVM management is disabled because it is not used, and XNIO's registrations with it took 0.1 s of each start.
exec $with_hup java -Djavax.management.builder.initial=none -XX:-UsePerfData -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -Xshare:auto -XX:SharedArchiveFile=node/target/spartrail.jsa \
    -Xms${heap_mb}m -Xmx${heap_mb}m -XX:+AlwaysPreTouch -Xss512k \
    -XX:MaxDirectMemorySize=12m -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=16m -XX:+ExitOnOutOfMemoryError \
    -jar node/target/spartrail.jar serve "$@"
