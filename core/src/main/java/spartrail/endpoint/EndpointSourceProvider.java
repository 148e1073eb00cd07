package spartrail.endpoint;

import java.io.IOException;
import java.util.List;
import java.util.Map;

/**
 * Provides sources of one kind in addition to discovery. Implementations are found by the service loader and are on the
 * class path only if the deployment uses them.
 */
public interface EndpointSourceProvider {
    /** Receives the reports of the started sources; may be called from any thread. */
    interface Listener {
        /**
         * Called with an answer of a source; {@code isComplete} if the answer lists every endpoint that the source
         * knows.
         */
        void onReports(
                String source,
                EndpointSource.Kind kind,
                boolean isComplete,
                List<SourceReport> reports,
                double lifetimeMs);

        /** Called when a source does not answer. */
        void onUnavailable(String source, EndpointSource.Kind kind);
    }

    /** The name of the section of the sources file that configures this kind of source. */
    String section();

    /**
     * Starts the sources that the section describes; closing the result stops them.
     *
     * @throws IllegalArgumentException if the section is invalid, with a message of one line
     */
    AutoCloseable start(Map<?, ?> settings, Listener listener) throws IOException;
}
