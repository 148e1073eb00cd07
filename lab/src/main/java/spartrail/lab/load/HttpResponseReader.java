package spartrail.lab.load;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Parses HTTP/1.1 answers incrementally (RFC 9112, sections 4, 6 and 7.1). A library would hide what a load generator
 * has to detect: answers without length, truncated ones, a second answer to a request, implausible lengths.
 */
public final class HttpResponseReader {
    /** The bytes received are not an acceptable answer. */
    public static final class InvalidResponseException extends Exception {
        private static final long serialVersionUID = 1;
        public final AttemptResult kind;

        InvalidResponseException(AttemptResult kind, String message) {
            super(message);
            this.kind = kind;
        }
    }

    static final int MAX_HEAD_BYTES = 16 * 1024;
    static final int MAX_BODY_BYTES = 64 * 1024;

    private byte[] bytes = new byte[1024];
    private int size;
    /** Offset of the body; 0 until the head is complete. */
    private int bodyAt;

    private int status;
    private long length;
    private boolean chunked;
    private boolean keepsAlive;
    private double retryAfterMs;

    /** Whether bytes of a further answer have been received. */
    public boolean hasBegun() {
        return size > 0;
    }

    /** Appends all bytes of the buffer. */
    public void append(ByteBuffer in) throws InvalidResponseException {
        int more = in.remaining();
        if (size + more > 2 * (MAX_HEAD_BYTES + MAX_BODY_BYTES)) {
            throw new InvalidResponseException(
                    AttemptResult.TOO_LONG, "an answer of more than " + MAX_BODY_BYTES + " bytes");
        }
        if (size + more > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, size + more));
        }
        in.get(bytes, size, more);
        size += more;
    }

    /** Parses the next answer; returns null until it is complete. */
    public HttpResponse readNext() throws InvalidResponseException {
        if (bodyAt == 0 && !readHead()) {
            return null;
        }
        if (chunked) {
            return readChunks();
        }
        if (length < 0 || size - bodyAt < length) {
            return null;
        }
        HttpResponse answer = new HttpResponse(
                status, Arrays.copyOfRange(bytes, bodyAt, bodyAt + (int) length), retryAfterMs, keepsAlive, false);
        discard(bodyAt + (int) length);
        return answer;
    }

    /** The answer that the end of the connection completes, or null if it is truncated. */
    public HttpResponse readAtClose() {
        return bodyAt > 0 && !chunked && length < 0
                ? new HttpResponse(status, Arrays.copyOfRange(bytes, bodyAt, size), retryAfterMs, false, true)
                : null;
    }

    private void discard(int end) {
        System.arraycopy(bytes, end, bytes, 0, size - end);
        size -= end;
        bodyAt = 0;
    }

    private boolean readHead() throws InvalidResponseException {
        int end = -1;
        for (int i = 3; i < size; i++) {
            if (bytes[i] == '\n' && bytes[i - 1] == '\r' && bytes[i - 2] == '\n' && bytes[i - 3] == '\r') {
                end = i + 1;
                break;
            }
        }
        if (size >= 5 && !new String(bytes, 0, 5, StandardCharsets.ISO_8859_1).equals("HTTP/")) {
            throw new InvalidResponseException(AttemptResult.GARBLED, "no HTTP");
        }
        if (end < 0) {
            if (size > MAX_HEAD_BYTES) {
                throw new InvalidResponseException(
                        AttemptResult.GARBLED, "a head of more than " + MAX_HEAD_BYTES + " bytes");
            }
            return false;
        }
        String[] lines = new String(bytes, 0, end - 4, StandardCharsets.ISO_8859_1).split("\r\n");
        try {
            status = Integer.parseInt(lines[0].substring(9, 12));
            length = -1;
            chunked = false;
            keepsAlive = true;
            retryAfterMs = 0;
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                String name = lines[i].substring(0, colon).trim().toLowerCase(java.util.Locale.ROOT);
                String value = lines[i].substring(colon + 1).trim();
                switch (name) {
                    case "content-length" -> length = Long.parseLong(value);
                    case "transfer-encoding" -> chunked = value.equalsIgnoreCase("chunked");
                    case "connection" -> keepsAlive = !value.equalsIgnoreCase("close");
                    case "retry-after" -> retryAfterMs = 1000 * Double.parseDouble(value);
                    default -> {}
                }
            }
        } catch (RuntimeException e) {
            throw new InvalidResponseException(AttemptResult.GARBLED, "an unreadable head");
        }
        if (length > MAX_BODY_BYTES) {
            throw new InvalidResponseException(AttemptResult.TOO_LONG, "a body of " + length + " bytes");
        }
        if (length < -1) {
            throw new InvalidResponseException(AttemptResult.GARBLED, "a negative length");
        }
        bodyAt = end;
        if (status >= 100 && status < 200) {
            discard(end);
            return readHead();
        }
        if (status == 204 || status == 304) {
            length = 0;
        }
        return true;
    }

    private HttpResponse readChunks() throws InvalidResponseException {
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
                throw new InvalidResponseException(AttemptResult.GARBLED, "a chunk without its length");
            }
            if (count < 0 || body.size() + (long) count > MAX_BODY_BYTES) {
                throw new InvalidResponseException(
                        AttemptResult.TOO_LONG, "chunks of more than " + MAX_BODY_BYTES + " bytes");
            }
            if (lf + 1 + count + 2 > size) {
                return null;
            }
            body.write(bytes, lf + 1, count);
            at = lf + 1 + count + 2;
            if (count == 0) {
                HttpResponse answer = new HttpResponse(status, body.toByteArray(), retryAfterMs, keepsAlive, false);
                discard(at);
                return answer;
            }
        }
    }
}
