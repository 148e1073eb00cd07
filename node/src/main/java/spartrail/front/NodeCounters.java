package spartrail.front;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import spartrail.model.Attempt;
import spartrail.model.Multiget;

/**
 * Counters of a node since its start, for its log. Written by the coordinator's thread; other threads read them for a
 * log line only and may see older values.
 */
final class NodeCounters {
    long queries;
    long rejectedOverCap;
    /** Queries whose id was in use, or was that of a query that may have run and must not run twice. */
    long rejectedIds;

    long clientsGone;
    volatile long endpointUpdates;
    /** How often changed settings have been applied. */
    volatile long configurationSwitches;

    final LongAdder exceptions = new LongAdder();
    final Map<Multiget.Answer, Long> answers = new EnumMap<>(Multiget.Answer.class);
    final Map<Attempt.Outcome, Long> outcomes = new EnumMap<>(Attempt.Outcome.class);

    @Override
    public String toString() {
        return "taken " + queries + ", over cap " + rejectedOverCap + ", ids in use " + rejectedIds + ", clients gone "
                + clientsGone + ", answers "
                + answers + ", outcomes " + outcomes + ", lists " + endpointUpdates + ", switches "
                + configurationSwitches + ", exceptions " + exceptions;
    }
}
