package spartrail.model;

import java.util.ArrayList;
import java.util.List;

/** What is to be done now, to be carried out in the order of the fields. */
public final class Decisions {
    public final List<Attempt> attempts = new ArrayList<>();
    /** Multigets that are answered now; {@link Multiget#answer} says how. */
    public final List<Multiget> answers = new ArrayList<>();

    public final List<Attempt> cancellations = new ArrayList<>();
    /** Ask for the list's changes from now on. */
    public boolean watchEndpoints;
}
