package spartrail.lab.dns;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;
import spartrail.lab.dns.DnsServerEmulator.Behavior;

/** Holds the records of an emulated name server and builds its responses, correct or faulty by its behavior. */
final class DnsResponder {
    private static final int MAX_UDP_BYTES = 512;
    private static final int MAX_NOISE_BYTES = 300;
    private static final int ID_MASK = 0x5555;
    private static final String SOA = "60 SOA a. b. 1 2 3 4 1";

    /** Records by {@code TYPE name}, each {@code TTL TYPE data}. */
    private final Map<String, List<String>> records = new ConcurrentHashMap<>();

    private final Random random;

    DnsResponder(long seed) {
        random = new Random(seed);
    }

    void setRecords(String type, String name, List<String> lines) {
        records.put(type + " " + name, List.copyOf(lines));
    }

    /** Builds the response to a query; null if the query is not answered. */
    byte[] respond(byte[] bytes, Behavior behavior, boolean isTcp) throws IOException {
        if (behavior == Behavior.SILENT) {
            return null;
        }
        if (behavior == Behavior.NOISE) {
            return randomBytes();
        }
        Message query = new Message(bytes);
        Message response = createResponse(query, behavior);
        if (behavior == Behavior.SERVFAIL) {
            response.getHeader().setRcode(Rcode.SERVFAIL);
            return response.toWire();
        }
        List<String> lines = findRecords(query, behavior);
        addAnswer(response, query, lines, behavior);
        byte[] wire = response.toWire();
        boolean isTooLong = behavior.isTruncating() || wire.length > MAX_UDP_BYTES;
        return isTooLong && !isTcp ? createTruncatedResponse(query, lines).toWire() : wire;
    }

    private byte[] randomBytes() {
        byte[] noise = new byte[1 + random.nextInt(MAX_NOISE_BYTES)];
        random.nextBytes(noise);
        return noise;
    }

    private static Message createResponse(Message query, Behavior behavior) throws IOException {
        int id = query.getHeader().getID();
        Message response = new Message(behavior == Behavior.WRONG_ID ? id ^ ID_MASK : id);
        response.getHeader().setFlag(Flags.QR);
        Record question = query.getQuestion();
        if (behavior == Behavior.WRONG_QUESTION) {
            question = Record.newRecord(Name.fromString("other.example.org."), question.getType(), DClass.IN);
        }
        response.addRecord(question, Section.QUESTION);
        return response;
    }

    private List<String> findRecords(Message query, Behavior behavior) {
        if (hasNoRecords(behavior)) {
            return List.of();
        }
        Record question = query.getQuestion();
        String key = Type.string(question.getType()) + " " + question.getName();
        return new ArrayList<>(records.getOrDefault(key, List.of()));
    }

    private static boolean hasNoRecords(Behavior behavior) {
        return behavior == Behavior.EMPTY || behavior == Behavior.NXDOMAIN;
    }

    private void addAnswer(Message response, Message query, List<String> lines, Behavior behavior) throws IOException {
        Name name = query.getQuestion().getName();
        if (!lines.isEmpty()) {
            Collections.shuffle(lines, random);
            for (String line : lines) {
                response.addRecord(parseRecord(name, line), Section.ANSWER);
            }
            return;
        }
        List<String> aliases = hasNoRecords(behavior) ? List.of() : records.getOrDefault("CNAME " + name, List.of());
        if (aliases.isEmpty()) {
            response.getHeader().setRcode(behavior == Behavior.NXDOMAIN ? Rcode.NXDOMAIN : Rcode.NOERROR);
            response.addRecord(parseRecord(Name.fromString("example.org."), SOA), Section.AUTHORITY);
        } else {
            response.addRecord(parseRecord(name, aliases.get(0)), Section.ANSWER);
        }
    }

    private static Message createTruncatedResponse(Message query, List<String> lines) throws IOException {
        Message response = new Message(query.getHeader().getID());
        response.getHeader().setFlag(Flags.QR);
        response.getHeader().setFlag(Flags.TC);
        response.addRecord(query.getQuestion(), Section.QUESTION);
        if (!lines.isEmpty()) {
            response.addRecord(parseRecord(query.getQuestion().getName(), lines.get(0)), Section.ANSWER);
        }
        return response;
    }

    private static Record parseRecord(Name name, String line) throws IOException {
        String[] fields = line.split(" ", 3);
        return Record.fromString(
                name, Type.value(fields[1]), DClass.IN, Long.parseLong(fields[0]), fields[2], Name.root);
    }
}
