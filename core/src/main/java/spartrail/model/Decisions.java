package spartrail.model;

import java.util.ArrayList;
import java.util.List;

/** The actions that the caller must carry out now, in the order of the fields. */
public final class Decisions {
    /** Attempts to send. */
    public final List<Attempt> attempts = new ArrayList<>();
    /** Multigets to answer now; {@link Multiget#answer} is the kind of answer. */
    public final List<Multiget> answers = new ArrayList<>();

    /** Attempts to cancel. */
    public final List<Attempt> cancellations = new ArrayList<>();
    /** Whether to request the changes of the endpoint list from now on. */
    public boolean watchEndpoints;
}
