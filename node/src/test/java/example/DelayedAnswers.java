package example;

import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/** Makes the servers of a fleet answer each part after a service time, and records when each part arrived. */
public final class DelayedAnswers implements AutoCloseable {
    /** When each part arrived at a server, by its id. */
    public final Map<String, Queue<Long>> arrivalsNs = new ConcurrentHashMap<>();

    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

    /** Sets the behavior of all servers; the service time of each part is drawn when it arrives. */
    public DelayedAnswers(ToyFleet fleet, IntSupplier serviceTimeMs) {
        fleet.servers.forEach(server -> server.behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) {
                arrivalsNs
                        .computeIfAbsent(id, part -> new ConcurrentLinkedQueue<>())
                        .add(System.nanoTime());
                timer.schedule(
                        () -> {
                            connection.sendResponse(id, "OK", text);
                            return null;
                        },
                        serviceTimeMs.getAsInt(),
                        TimeUnit.MILLISECONDS);
            }
        });
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
