package spartrail.policy.replication;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import spartrail.json.JsonTree;
import spartrail.policy.PolicyLog;
import spartrail.policy.PolicyRequest;
import spartrail.policy.PolicyResponse;

/**
 * The form of messages about policy: a CBOR array whose first value is the kind. Arrays may have more values at their end than
 * a reader knows.
 *
 * <pre>
 *  0 ASK        nonce, name, vote, no, by
 *  1 TOLD       nonce, index, entry, entry or ""      entry: number, settings, by, stage, why, token
 *  2 ELSEWHERE  nonce, name of who leads or ""
 *  3 NEWS
 *  4 LOG        a message of the agreed log, see RaftMessageCodec
 *  5 ORDER      token, kind, number, text, who         of an operator
 *  6 DONE       token, what came of it, name of who leads or ""
 *  7 QUESTION   token, what                            of an operator: show; check SETTINGS; in drills a point to crash at
 *  8 REPLY      token, text
 * </pre>
 */
public final class PolicyMessageCodec {
    public static final int ASK = 0;
    public static final int TOLD = 1;
    public static final int ELSEWHERE = 2;
    public static final int NEWS = 3;
    public static final int LOG = 4;
    public static final int ORDER = 5;
    public static final int DONE = 6;
    public static final int QUESTION = 7;
    public static final int REPLY = 8;
    /** The lane of policy in the frames of talk. */
    public static final int LANE = 3;

    static final String CHECK = "check ";

    static final List<String> NAMES =
            List.of("ASK", "TOLD", "ELSEWHERE", "NEWS", "LOG", "ORDER", "DONE", "QUESTION", "REPLY");

    private static final CBORFactory CBOR = new CBORFactory();

    private PolicyMessageCodec() {}

    /** A list of lists, numbers, text and flags as bytes. */
    public static byte[] bytes(List<?> plain) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator out = CBOR.createGenerator(bytes)) {
            write(out, plain);
        } catch (IOException e) {
            throw new IllegalStateException("bytes in memory", e);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonGenerator out, Object value) throws IOException {
        if (value instanceof List<?> list) {
            out.writeStartArray();
            for (Object each : list) {
                write(out, each);
            }
            out.writeEndArray();
        } else {
            out.writeObject(value);
        }
    }

    /** The other way; an IOException where they are no list. */
    public static List<?> plain(byte[] bytes) throws IOException {
        try (JsonParser in = CBOR.createParser(bytes)) {
            if (in.nextToken() == null || !(JsonTree.readValue(in) instanceof List<?> list)) {
                throw new IOException("a list is expected");
            }
            return list;
        } catch (RuntimeException e) {
            throw new IOException("unreadable", e);
        }
    }

    static List<?> ask(PolicyRequest ask) {
        return List.of(ASK, ask.nonce(), ask.node(), ask.votedNumber(), ask.objection(), ask.activePolicy());
    }

    static PolicyRequest ask(List<?> plain) {
        return new PolicyRequest(
                longAt(plain, 1), (String) plain.get(2), longAt(plain, 3), (String) plain.get(4), (String)
                        plain.get(5));
    }

    static List<?> told(PolicyResponse told) {
        return List.of(
                TOLD,
                told.nonce(),
                told.appliedIndex(),
                entry(told.active()),
                told.pending() == null ? "" : entry(told.pending()));
    }

    static PolicyResponse told(List<?> plain) {
        return new PolicyResponse(
                longAt(plain, 1),
                longAt(plain, 2),
                entry(plain.get(3)),
                plain.get(4) instanceof List<?> ? entry(plain.get(4)) : null);
    }

    private static List<?> entry(PolicyLog.Entry entry) {
        return List.of(
                entry.number(),
                entry.settings(),
                entry.proposer(),
                entry.stage().name(),
                entry.reason(),
                entry.token());
    }

    private static PolicyLog.Entry entry(Object plain) {
        List<?> list = (List<?>) plain;
        return new PolicyLog.Entry(
                longAt(list, 0),
                (String) list.get(1),
                (String) list.get(2),
                PolicyLog.Stage.valueOf((String) list.get(3)),
                (String) list.get(4),
                (String) list.get(5));
    }

    static long longAt(List<?> plain, int at) {
        return ((Number) plain.get(at)).longValue();
    }

    static int intAt(List<?> plain, int at) {
        return ((Number) plain.get(at)).intValue();
    }

    /** Names of a list. */
    static List<String> names(Object plain) {
        List<String> names = new ArrayList<>();
        ((List<?>) plain).forEach(name -> names.add((String) name));
        return names;
    }
}
