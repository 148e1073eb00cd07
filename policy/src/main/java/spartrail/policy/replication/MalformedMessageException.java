package spartrail.policy.replication;

import java.io.IOException;

/** Bytes that were received or stored are not of the expected form. */
final class MalformedMessageException extends IOException {
    private static final long serialVersionUID = 1;

    MalformedMessageException(String message) {
        super(message);
    }

    MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
