package spartrail.intake;

import java.nio.ByteBuffer;

/**
 * Decides what becomes of requests whose client had closed its connection before the first of them was handled. To handle
 * a request costs many times what it costs to send it, so clients that send hundreds and leave would take a node's
 * time from those that wait.
 *
 * <p>A query needs no answer then, nor does what cannot be told from one by its first letter. A readiness check keeps its
 * answer, as its client may have closed one direction only.
 */
public final class DepartedClient {
    private DepartedClient() {}

    /** Whether requests that begin with these bytes may be discarded if their client has closed its connection. */
    public static boolean mayDiscard(ByteBuffer first) {
        return first.hasRemaining() && first.get(first.position()) == 'P';
    }
}
