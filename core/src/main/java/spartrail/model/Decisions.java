package spartrail.model;

import java.util.ArrayList;
import java.util.List;

/** What the caller is to do now, in the order of the fields. */
public final class Decisions {
    /** Attempts to send. */
    public final List<Attempt> attempts = new ArrayList<>();
    /** Multigets that are answered now; {@link Multiget#answer} says how. */
    public final List<Multiget> answers = new ArrayList<>();

    /** Attempts to cancel. */
    public final List<Attempt> cancellations = new ArrayList<>();
    /** Whether to ask for the changes of the endpoint list from now on. */
    public boolean watchEndpoints;
}
