package spartrail.peers.transport;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import spartrail.peers.MembershipView;

/**
 * What a running node tells its operators. A question is {@code show FROM}: a reply is one JSON object in one datagram, the
 * view's head, some peers from that number on, and {@code next}, the number to ask for next or -1. So a reply is bounded, and a
 * view of any size can be read.
 */
final class MembershipStatusReplies {
    private static final int PEERS_A_PAGE = 4;

    private MembershipStatusReplies() {}

    static void to(
            String question, MembershipView view, Map<String, Long> counts, String fleet, Consumer<byte[]> send) {
        String[] words = question.split(" ");
        if (words.length != 2 || !words[0].equals("show") || !words[1].matches("[0-9]{1,5}")) {
            return;
        }
        int from = Integer.parseInt(words[1]);
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            out.writeStartObject();
            if (from == 0) {
                head(out, view, counts);
            }
            List<MembershipView.Seen> page = view.peers().stream()
                    .skip(from)
                    .limit(from == 0 ? 0 : PEERS_A_PAGE)
                    .toList();
            if (from > 0) {
                page = view.peers().stream().skip(from - 1L).limit(PEERS_A_PAGE).toList();
            }
            out.writeArrayFieldStart("peers");
            for (MembershipView.Seen seen : page) {
                seen(out, seen, view.atMs());
            }
            out.writeEndArray();
            int next = from == 0 ? 1 : from + page.size();
            out.writeNumberField("next", next > view.peers().size() ? -1 : next);
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("text in memory", e);
        }
        send.accept(PeerMessageCodec.text(fleet, PeerMessageCodec.REPLY, text.toString()));
    }

    private static void head(JsonGenerator out, MembershipView view, Map<String, Long> counts) throws IOException {
        out.writeStringField("name", view.name());
        out.writeStringField("standing", view.standing().name());
        out.writeStringField("doubt", view.doubt());
        out.writeNumberField("there", view.there());
        out.writeNumberField("least", view.least());
        out.writeNumberField("most", view.most());
        out.writeObjectFieldStart("counts");
        for (Map<String, Long> each : List.of(view.counts(), counts)) {
            for (Map.Entry<String, Long> count : new java.util.TreeMap<>(each).entrySet()) {
                out.writeNumberField(count.getKey(), count.getValue());
            }
        }
        out.writeEndObject();
    }

    private static void seen(JsonGenerator out, MembershipView.Seen seen, double nowMs) throws IOException {
        out.writeStartObject();
        out.writeStringField("name", seen.card().name());
        out.writeStringField("address", seen.card().address());
        out.writeStringField("zone", seen.card().zone());
        out.writeNumberField("weight", seen.card().weight());
        out.writeStringField("program", seen.card().program());
        out.writeStringField("settings", seen.card().settings());
        out.writeNumberField("startMs", seen.card().life().startMs());
        out.writeNumberField("turn", seen.card().turn());
        out.writeStringField("standing", seen.standing().name());
        out.writeNumberField("sinceMs", Math.round(nowMs - seen.sinceMs()));
        out.writeStringField("from", seen.from());
        out.writeStringField("sure", seen.sure().name());
        if (!Double.isNaN(seen.heardMs())) {
            out.writeNumberField("heardMs", Math.round(nowMs - seen.heardMs()));
        }
        out.writeStringField("why", seen.why());
        out.writeEndObject();
    }
}
