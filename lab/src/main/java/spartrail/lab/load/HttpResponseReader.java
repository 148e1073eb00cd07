package spartrail.lab.load;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads HTTP/1.1 answers as bytes come (RFC 9112, sections 4, 6 and 7.1). It is our own, as a library would hide what a
 * load generator is to see: answers without length, cut ones, a second one, lengths that nobody should believe.
 */
public final class HttpResponseReader {
    /** What came cannot be used. */
    public static final class Unusable extends Exception {
        private static final long serialVersionUID = 1;
        public final AttemptResult kind;

        Unusable(AttemptResult kind, String what) {
            super(what);
            this.kind = kind;
        }
    }

    static final int LONGEST_HEAD = 16 * 1024;
    static final int LONGEST_BODY = 64 * 1024;

    private byte[] bytes = new byte[1024];
    private int size;
    /** Where the body begins; 0 while the head is not there. */
    private int bodyAt;

    private int status;
    private long length;
    private boolean chunked;
    private boolean lasts;
    private double comebackMs;

    /** Something of an answer has come. */
    public boolean begun() {
        return size > 0;
    }

    /** Takes all bytes. */
    public void take(ByteBuffer in) throws Unusable {
        int more = in.remaining();
        if (size + more > 2 * (LONGEST_HEAD + LONGEST_BODY)) {
            throw new Unusable(AttemptResult.TOO_LONG, "an answer of more than " + LONGEST_BODY + " bytes");
        }
        if (size + more > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, size + more));
        }
        in.get(bytes, size, more);
        size += more;
    }

    /** The next whole answer, or null. */
    public HttpResponse next() throws Unusable {
        if (bodyAt == 0 && !head()) {
            return null;
        }
        if (chunked) {
            return chunks();
        }
        if (length < 0 || size - bodyAt < length) {
            return null;
        }
        HttpResponse answer = new HttpResponse(
                status, Arrays.copyOfRange(bytes, bodyAt, bodyAt + (int) length), comebackMs, lasts, false);
        done(bodyAt + (int) length);
        return answer;
    }

    /** The answer that the end of the connection completes, or null where it is cut. */
    public HttpResponse atEnd() {
        return bodyAt > 0 && !chunked && length < 0
                ? new HttpResponse(status, Arrays.copyOfRange(bytes, bodyAt, size), comebackMs, false, true)
                : null;
    }

    private void done(int end) {
        System.arraycopy(bytes, end, bytes, 0, size - end);
        size -= end;
        bodyAt = 0;
    }

    private boolean head() throws Unusable {
        int end = -1;
        for (int i = 3; i < size; i++) {
            if (bytes[i] == '\n' && bytes[i - 1] == '\r' && bytes[i - 2] == '\n' && bytes[i - 3] == '\r') {
                end = i + 1;
                break;
            }
        }
        if (size >= 5 && !new String(bytes, 0, 5, StandardCharsets.ISO_8859_1).equals("HTTP/")) {
            throw new Unusable(AttemptResult.GARBLED, "no HTTP");
        }
        if (end < 0) {
            if (size > LONGEST_HEAD) {
                throw new Unusable(AttemptResult.GARBLED, "a head of more than " + LONGEST_HEAD + " bytes");
            }
            return false;
        }
        String[] lines = new String(bytes, 0, end - 4, StandardCharsets.ISO_8859_1).split("\r\n");
        try {
            status = Integer.parseInt(lines[0].substring(9, 12));
            length = -1;
            chunked = false;
            lasts = true;
            comebackMs = 0;
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                String name = lines[i].substring(0, colon).trim().toLowerCase(java.util.Locale.ROOT);
                String value = lines[i].substring(colon + 1).trim();
                switch (name) {
                    case "content-length" -> length = Long.parseLong(value);
                    case "transfer-encoding" -> chunked = value.equalsIgnoreCase("chunked");
                    case "connection" -> lasts = !value.equalsIgnoreCase("close");
                    case "retry-after" -> comebackMs = 1000 * Double.parseDouble(value);
                    default -> {}
                }
            }
        } catch (RuntimeException e) {
            throw new Unusable(AttemptResult.GARBLED, "an unreadable head");
        }
        if (length > LONGEST_BODY) {
            throw new Unusable(AttemptResult.TOO_LONG, "a body of " + length + " bytes");
        }
        if (length < -1) {
            throw new Unusable(AttemptResult.GARBLED, "a negative length");
        }
        bodyAt = end;
        if (status >= 100 && status < 200) {
            done(end);
            return head();
        }
        if (status == 204 || status == 304) {
            length = 0;
        }
        return true;
    }

    private HttpResponse chunks() throws Unusable {
        java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
        int at = bodyAt;
        while (true) {
            int lf = at;
            while (lf < size && bytes[lf] != '\n') {
                lf++;
            }
            if (lf == size) {
                return null;
            }
            int count;
            try {
                count = Integer.parseInt(
                        new String(bytes, at, lf - at, StandardCharsets.ISO_8859_1).split(";")[0].trim(), 16);
            } catch (NumberFormatException e) {
                throw new Unusable(AttemptResult.GARBLED, "a chunk without its length");
            }
            if (count < 0 || body.size() + (long) count > LONGEST_BODY) {
                throw new Unusable(AttemptResult.TOO_LONG, "chunks of more than " + LONGEST_BODY + " bytes");
            }
            if (lf + 1 + count + 2 > size) {
                return null;
            }
            body.write(bytes, lf + 1, count);
            at = lf + 1 + count + 2;
            if (count == 0) {
                HttpResponse answer = new HttpResponse(status, body.toByteArray(), comebackMs, lasts, false);
                done(at);
                return answer;
            }
        }
    }
}
