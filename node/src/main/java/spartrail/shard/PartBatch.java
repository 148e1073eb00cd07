package spartrail.shard;

import java.util.ArrayList;
import java.util.List;

/** Parts that travel to a server in one frame; those that end before leave it. */
final class PartBatch {
    final List<PartRequest> parts;
    /** When the first of them was decided. */
    final double decidedMs;

    PartBatch(List<PartRequest> parts) {
        this.parts = new ArrayList<>(parts);
        parts.forEach(part -> part.batch = this);
        this.decidedMs =
                parts.stream().mapToDouble(part -> part.attempt.sentMs).min().orElse(0);
    }
}
