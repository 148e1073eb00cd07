package spartrail.lab.plan;

import java.util.random.RandomGenerator;

/**
 * A client's session for one multiget, from its first attempt to its last: a state machine without clock or sockets.
 *
 * <pre>
 * state       event                                   next state
 * ATTEMPTING  served                                  FINISHED
 * ATTEMPTING  abandons the attempt                    FINISHED
 * ATTEMPTING  rejected, failed, timed out             PAUSED, or FINISHED after the last attempt
 * PAUSED      the pause is over                       ATTEMPTING
 * </pre>
 */
public final class ClientSession {
    private final ClientBehavior behavior;
    private final RandomGenerator random;
    private int attempts;

    /** A session before its first attempt; {@code random} decides on abandoning, jitter and Retry-After. */
    public ClientSession(ClientBehavior behavior, RandomGenerator random) {
        this.behavior = behavior;
        this.random = random;
    }

    /** Attempts begun so far. */
    public int attempts() {
        return attempts;
    }

    /** Begins an attempt; returns the time after which the client abandons it, infinity if it waits for the timeout. */
    public double beginAttempt(double timeoutMs) {
        attempts++;
        boolean abandons = behavior.abandonShare() > 0 && random.nextDouble() < behavior.abandonShare();
        return abandons ? behavior.abandonAfterShare() * timeoutMs : Double.POSITIVE_INFINITY;
    }

    /** The pause after an attempt that was not served, before the next one; negative if no attempt is left. */
    public double pauseAfterFailureMs(double retryAfterMs) {
        if (attempts >= behavior.maxAttempts()) {
            return -1;
        }
        double pauseMs = Math.min(backoffMs(), behavior.maxBackoffMs());
        pauseMs *= 1 + behavior.jitter() * (2 * random.nextDouble() - 1);
        boolean honorsRetryAfter = retryAfterMs > 0 && random.nextDouble() < behavior.honorsRetryAfterShare();
        return honorsRetryAfter ? Math.max(pauseMs, retryAfterMs) : pauseMs;
    }

    private double backoffMs() {
        return switch (behavior.backoff()) {
            case NONE -> 0;
            case FIXED -> behavior.initialBackoffMs();
            case EXPONENTIAL -> behavior.initialBackoffMs() * Math.pow(behavior.backoffFactor(), attempts - 1);
        };
    }
}
