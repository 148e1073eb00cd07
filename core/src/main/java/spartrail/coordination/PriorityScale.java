package spartrail.coordination;

import java.util.List;
import spartrail.model.OpType;

/** Compares the priority weights of op types. */
final class PriorityScale {
    /** Shared with the caller, which replaces op types when settings change. */
    private final List<OpType> opTypes;

    PriorityScale(List<OpType> opTypes) {
        this.opTypes = opTypes;
    }

    /** Returns the priority weight of an op type divided by the highest priority weight. */
    double relativePriority(OpType op) {
        double highest = opTypes.stream()
                .mapToDouble(other -> other.priorityWeight)
                .max()
                .orElse(0);
        return highest > 0 ? op.priorityWeight / highest : 1;
    }
}
