package spartrail.shard;

import java.util.ArrayList;
import java.util.List;

/** Parts that are sent to a server in one frame; a part that ends before its frame begins is removed. */
final class PartBatch {
    final List<PartRequest> parts;
    /** The time of the earliest decision among the parts. */
    final double decidedMs;

    PartBatch(List<PartRequest> parts) {
        this.parts = new ArrayList<>(parts);
        parts.forEach(part -> part.batch = this);
        this.decidedMs =
                parts.stream().mapToDouble(part -> part.attempt.sentMs).min().orElse(0);
    }
}
