package spartrail.shard;

import java.util.ArrayList;
import java.util.List;

/** Parts that travel to a server in one frame. */
final class ShardCall {
    final List<PartRequest> parts;

    ShardCall(List<PartRequest> parts) {
        this.parts = new ArrayList<>(parts);
        parts.forEach(part -> part.call = this);
    }
}
