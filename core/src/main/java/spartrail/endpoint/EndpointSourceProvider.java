package spartrail.endpoint;

import java.io.IOException;
import java.util.List;
import java.util.Map;

/** A kind of source beside the roll, found by the service loader; on the class path only where it is asked for. */
public interface EndpointSourceProvider {
    /** Where a started source tells what it hears; from any thread. */
    interface Words {
        void said(String source, EndpointSource.Kind kind, boolean whole, List<SourceReport> lines, double lifetimeMs);

        void out(String source, EndpointSource.Kind kind);
    }

    /** The part of the members' file that it takes. */
    String section();

    /** Starts it with that part; an IllegalArgumentException says in one line what is wrong with it. */
    AutoCloseable start(Map<?, ?> settings, Words words) throws IOException;
}
