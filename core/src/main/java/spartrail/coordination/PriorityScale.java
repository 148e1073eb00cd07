package spartrail.coordination;

import java.util.List;
import spartrail.model.OpType;

/** Ranks op types by their priority weights. */
final class PriorityScale {
    /** Shared with the caller, which replaces op types when settings change. */
    private final List<OpType> opTypes;

    PriorityScale(List<OpType> opTypes) {
        this.opTypes = opTypes;
    }

    /** The priority weight of an op type over the highest one. */
    double relativePriority(OpType op) {
        double highest = opTypes.stream()
                .mapToDouble(other -> other.priorityWeight)
                .max()
                .orElse(0);
        return highest > 0 ? op.priorityWeight / highest : 1;
    }
}
