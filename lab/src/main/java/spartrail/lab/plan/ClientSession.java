package spartrail.lab.plan;

import java.util.random.RandomGenerator;

/**
 * One client's course from its first try to its last: a state machine without clock or sockets.
 *
 * <pre>
 * state      what happens                        next
 * trying     it is served                        over
 * trying     it leaves midway                    over
 * trying     it is refused, fails, hears nothing waiting, or over after its last try
 * waiting    its wait is over                    trying
 * </pre>
 */
public final class ClientSession {
    private final ClientBehavior habit;
    private final RandomGenerator chance;
    private int tries;

    public ClientSession(ClientBehavior habit, RandomGenerator chance) {
        this.habit = habit;
        this.chance = chance;
    }

    public int tries() {
        return tries;
    }

    /** A try begins; after how much of the client's time it leaves, infinite if it stays. */
    public double tries(double clientMs) {
        tries++;
        return habit.leavesShare() > 0 && chance.nextDouble() < habit.leavesShare()
                ? habit.leavesAt() * clientMs
                : Double.POSITIVE_INFINITY;
    }

    /** A try was not served: how long it waits for the next one, negative if there is none. */
    public double unserved(double comebackMs) {
        if (tries >= habit.tries()) {
            return -1;
        }
        double wait =
                switch (habit.pause()) {
                    case NONE -> 0;
                    case FIXED -> habit.waitMs();
                    case EXPONENTIAL -> habit.waitMs() * Math.pow(habit.factor(), tries - 1);
                };
        wait = Math.min(wait, habit.mostWaitMs());
        wait *= 1 + habit.jitter() * (2 * chance.nextDouble() - 1);
        boolean heeds = comebackMs > 0 && chance.nextDouble() < habit.heeds();
        return heeds ? Math.max(wait, comebackMs) : wait;
    }
}
