package spartrail.coordination;

import spartrail.model.Attempt;
import spartrail.model.OpType;
import spartrail.model.Part;

/** Decides whether a part may have another attempt, by its idempotency, its number of attempts and the retry budget. */
final class RetryPolicy {
    /** Most attempts of a part of the lowest priority, unless the configured maximum is lower. */
    private static final int MIN_MAX_ATTEMPTS = 2;

    private final EventContext context;
    private final PriorityScale priorities;
    private final RetryBudget budget;
    private int maxAttemptsPerPart = 1;
    private boolean hedgingAllowed;

    RetryPolicy(EventContext context, PriorityScale priorities, RetryBudget budget) {
        this.context = context;
        this.priorities = priorities;
        this.budget = budget;
    }

    /** See {@link Coordinator#configureAttempts}. */
    void configure(int newMaxAttemptsPerPart, boolean newHedgingAllowed) {
        maxAttemptsPerPart = newMaxAttemptsPerPart;
        hedgingAllowed = newHedgingAllowed;
    }

    /** Whether two attempts of this part may be in flight at the same time. */
    boolean mayHedge(Part part) {
        return hedgingAllowed && part.multiget.opType.idempotency != OpType.Idempotency.NON_IDEMPOTENT;
    }

    /** Whether this part may have another attempt now. */
    boolean mayRetry(Part part) {
        OpType op = part.multiget.opType;
        if (part.hasAttemptInFlight() && !mayHedge(part)
                || part.attempts.size() >= maxAttempts(op)
                || !budget.mayRetry()) {
            return false;
        }
        return switch (op.idempotency) {
            case IDEMPOTENT -> true;
            case NON_IDEMPOTENT -> part.attempts.stream().allMatch(Attempt::hasNotRun);
            case IDEMPOTENCY_KEY -> context.nowMs() < part.deduplicationEndMs() - context.loopIntervalMs();
        };
    }

    /** Returns the most attempts that a part of this op type may have: the higher its relative priority, the more. */
    private int maxAttempts(OpType op) {
        int byPriority = (int) Math.ceil((maxAttemptsPerPart - MIN_MAX_ATTEMPTS) * priorities.relativePriority(op));
        return Math.min(maxAttemptsPerPart, MIN_MAX_ATTEMPTS + byPriority);
    }
}
