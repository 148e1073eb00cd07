package spartrail.endpoint;

import java.io.IOException;
import java.util.List;
import java.util.Map;

/** A kind of source beside discovery, found by the service loader; on the class path only where it is asked for. */
public interface EndpointSourceProvider {
    /** Where a started source reports; called from any thread. */
    interface Listener {
        /** The source of this name reports; {@code isComplete} where it reports all that it knows. */
        void onReports(
                String source,
                EndpointSource.Kind kind,
                boolean isComplete,
                List<SourceReport> reports,
                double lifetimeMs);

        /** The source of this name does not answer. */
        void onUnavailable(String source, EndpointSource.Kind kind);
    }

    /** The section of the sources file that it takes. */
    String section();

    /** Starts it with that section; an IllegalArgumentException says in one line what is wrong with it. */
    AutoCloseable start(Map<?, ?> settings, Listener listener) throws IOException;
}
