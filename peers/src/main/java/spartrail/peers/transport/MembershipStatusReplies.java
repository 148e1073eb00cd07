package spartrail.peers.transport;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import spartrail.peers.MembershipView;

/**
 * Builds a running node's replies to its operators. A request is {@code show FROM}; a reply is one JSON object in one
 * datagram. For 0 it contains the head of the view, otherwise a page of peers starting at that number. {@code next} is
 * the number for the next request, or -1 after the last page. Paging bounds the size of a reply for a view of any size.
 * The format never changes, because operators' tools may be of another version.
 */
final class MembershipStatusReplies {
    private static final int PEERS_PER_PAGE = 4;
    private static final Pattern REQUEST = Pattern.compile("show ([0-9]{1,5}) *");

    private MembershipStatusReplies() {}

    /** Builds the reply to a request; empty if the request is unknown. */
    static Optional<String> reply(String request, MembershipView view, Map<String, Long> transportCounters) {
        Matcher matcher = REQUEST.matcher(request);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int from = Integer.parseInt(matcher.group(1));
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            out.writeStartObject();
            if (from == 0) {
                writeHead(out, view, transportCounters);
            }
            writePage(out, view, from);
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode a reply to an operator in memory", e);
        }
        return Optional.of(text.toString());
    }

    private static void writeHead(JsonGenerator out, MembershipView view, Map<String, Long> transportCounters)
            throws IOException {
        out.writeStringField("name", view.name());
        out.writeStringField("standing", view.state().name());
        out.writeStringField("doubt", view.healthProblem());
        out.writeNumberField("there", view.presentCount());
        out.writeNumberField("least", view.minCount());
        out.writeNumberField("most", view.maxCount());
        out.writeObjectFieldStart("counts");
        writeCounters(out, view.counters());
        writeCounters(out, transportCounters);
        out.writeEndObject();
    }

    private static void writeCounters(JsonGenerator out, Map<String, Long> counters) throws IOException {
        for (Map.Entry<String, Long> counter : new TreeMap<>(counters).entrySet()) {
            out.writeNumberField(counter.getKey(), counter.getValue());
        }
    }

    /**
     * Writes the page that starts at peer number {@code from}; peers are numbered from 1, and page 0 (the head) has
     * none.
     */
    private static void writePage(JsonGenerator out, MembershipView view, int from) throws IOException {
        List<MembershipView.Entry> page = List.of();
        if (from > 0) {
            page = view.peers().stream().skip(from - 1L).limit(PEERS_PER_PAGE).toList();
        }
        out.writeArrayFieldStart("peers");
        for (MembershipView.Entry entry : page) {
            writeEntry(out, entry, view.atMs());
        }
        out.writeEndArray();
        int next = from == 0 ? 1 : from + page.size();
        out.writeNumberField("next", next > view.peers().size() ? -1 : next);
    }

    private static void writeEntry(JsonGenerator out, MembershipView.Entry entry, double nowMs) throws IOException {
        out.writeStartObject();
        out.writeStringField("name", entry.descriptor().name());
        out.writeStringField("address", entry.descriptor().address());
        out.writeStringField("zone", entry.descriptor().zone());
        out.writeNumberField("weight", entry.descriptor().weight());
        out.writeStringField("program", entry.descriptor().programVersion());
        out.writeStringField("settings", entry.descriptor().settingsVersion());
        out.writeNumberField("startMs", entry.descriptor().incarnation().startMs());
        out.writeNumberField("turn", entry.descriptor().refutations());
        out.writeStringField("standing", entry.state().name());
        out.writeNumberField("sinceMs", Math.round(nowMs - entry.stateSinceMs()));
        out.writeStringField("from", entry.reporter());
        out.writeStringField("sure", confidenceLabel(entry.confidence()));
        if (!Double.isNaN(entry.lastAckMs())) {
            out.writeNumberField("heardMs", Math.round(nowMs - entry.lastAckMs()));
        }
        out.writeStringField("why", entry.reason());
        out.writeEndObject();
    }

    private static String confidenceLabel(MembershipView.Confidence confidence) {
        return switch (confidence) {
            case DIRECT -> "HEARD";
            case REPORTED -> "TOLD";
            case LOW -> "DOUBTED";
        };
    }
}
