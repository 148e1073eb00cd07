package spartrail.intake;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Finds the end of one HTTP/1.1 request, apart from the HTTP server and by the letter of RFC 9112. If two readers found
 * different ends, bytes that one takes for a body would be a request to the other (request smuggling). So only a request
 * on whose end this class and the HTTP server agree may be followed by another one on its connection.
 *
 * <p>A request is invalid where the RFC has a server reject it or lets readers differ: a space before a colon, a folded
 * line, a carriage return without a line feed, a length that is not one plain number, a length beside a coding, a coding
 * other than {@code chunked}, a chunk whose size or end is not of the stated form. Cost: constant for each byte.
 */
public final class RequestFraming {
    private enum State {
        START_LINE,
        FIELD_NAME,
        FIELD_VALUE,
        BODY,
        CHUNK_SIZE,
        CHUNK_EXTENSION,
        CHUNK_DATA,
        CHUNK_END,
        TRAILER_NAME,
        TRAILER_VALUE,
        COMPLETE,
        INVALID
    }

    private static final String LENGTH_FIELD = "content-length";
    private static final String CODING_FIELD = "transfer-encoding";
    private static final Pattern LENGTH_FORMAT = Pattern.compile("[0-9]{1,18}");
    private static final Pattern CODING_FORMAT = Pattern.compile("(?i)chunked");
    private static final Pattern NAME_FORMAT = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    /** The end of a start line, as eight bytes. */
    private static final long HTTP_1_1 =
            ByteBuffer.wrap("HTTP/1.1".getBytes(StandardCharsets.US_ASCII)).getLong();
    /** Longer values of the two fields that matter are invalid. */
    private static final int MAX_VALUE_CHARS = 64;

    private static final long MAX_CHUNK_BYTES = Integer.MAX_VALUE;

    private State state = State.START_LINE;
    private boolean afterCarriageReturn;
    /** The last eight bytes of the start line. */
    private long startLineEnd;

    private final StringBuilder name = new StringBuilder();
    private final StringBuilder value = new StringBuilder();
    /** The stated length of the body; null if there is none. */
    private String length;
    /** The stated coding of the body; null if there is none. */
    private String coding;
    /** The bytes of the body or of the chunk that are still to come. */
    private long bytesLeft;

    private boolean hasChunkSize;
    private long bytesBehind;

    /** Begins a request. */
    public void begin() {
        state = State.START_LINE;
        afterCarriageReturn = false;
        startLineEnd = 0;
        name.setLength(0);
        value.setLength(0);
        length = null;
        coding = null;
        bytesBehind = 0;
    }

    /** Reads the next bytes of the connection, without changing the buffer. */
    public void add(ByteBuffer bytes) {
        for (int i = bytes.position(); i < bytes.limit(); i++) {
            if (state == State.INVALID) {
                return;
            }
            if (state == State.COMPLETE) {
                bytesBehind += bytes.limit() - i;
                return;
            }
            addByte(bytes.get(i));
        }
    }

    /** Whether the request has no end on which all readers agree. */
    public boolean isInvalid() {
        return state == State.INVALID;
    }

    /** Whether the request ends before the last so many bytes that were read. */
    public boolean endsBefore(long unhandledBytes) {
        return state == State.COMPLETE && bytesBehind == unhandledBytes;
    }

    private void addByte(byte next) {
        if (state == State.BODY || state == State.CHUNK_DATA) {
            addBodyByte();
            return;
        }
        if (next == '\n') {
            boolean isLenient = state == State.START_LINE || state == State.FIELD_NAME || state == State.FIELD_VALUE;
            if (afterCarriageReturn || isLenient) {
                afterCarriageReturn = false;
                endLine();
            } else {
                state = State.INVALID;
            }
        } else if (afterCarriageReturn || next == 0) {
            state = State.INVALID;
        } else if (next == '\r') {
            afterCarriageReturn = true;
        } else {
            addLineByte(next);
        }
    }

    private void addBodyByte() {
        bytesLeft--;
        if (bytesLeft == 0) {
            state = state == State.BODY ? State.COMPLETE : State.CHUNK_END;
        }
    }

    private void addLineByte(byte next) {
        switch (state) {
            case START_LINE -> startLineEnd = startLineEnd << Byte.SIZE | next & 0xff;
            case FIELD_NAME, TRAILER_NAME -> addNameByte(next);
            case FIELD_VALUE -> addValueByte(next);
            case CHUNK_SIZE -> addSizeByte(next);
            case CHUNK_END -> state = State.INVALID;
            default -> {
                // A trailer's value or a chunk's extension says nothing about the end.
            }
        }
    }

    private void addNameByte(byte next) {
        if (next != ':') {
            name.append((char) (next & 0xff));
        } else if (NAME_FORMAT.matcher(name).matches()) {
            state = state == State.FIELD_NAME ? State.FIELD_VALUE : State.TRAILER_VALUE;
        } else {
            state = State.INVALID;
        }
    }

    private void addValueByte(byte next) {
        if (value.length() <= MAX_VALUE_CHARS && (isNamed(LENGTH_FIELD) || isNamed(CODING_FIELD))) {
            value.append((char) (next & 0xff));
        }
    }

    private boolean isNamed(String fieldName) {
        return name.length() == fieldName.length()
                && name.toString().toLowerCase(Locale.ROOT).equals(fieldName);
    }

    private void addSizeByte(byte next) {
        int digit = Character.digit(next, 16);
        if (digit >= 0) {
            hasChunkSize = true;
            bytesLeft = 16 * bytesLeft + digit;
        }
        if (digit < 0 && next == ';' && hasChunkSize) {
            state = State.CHUNK_EXTENSION;
        } else if (digit < 0 || bytesLeft > MAX_CHUNK_BYTES) {
            state = State.INVALID;
        }
    }

    private void endLine() {
        switch (state) {
            case START_LINE -> {
                // Empty lines before a request are ignored.
                state = startLineEnd == 0 ? State.START_LINE : State.FIELD_NAME;
            }
            case FIELD_NAME -> state = name.length() == 0 ? endHead() : State.INVALID;
            case FIELD_VALUE -> state = endField();
            case CHUNK_SIZE, CHUNK_EXTENSION -> state = endChunkHead();
            case CHUNK_END -> state = beginChunk();
            case TRAILER_NAME -> state = name.length() == 0 ? State.COMPLETE : State.INVALID;
            default -> {
                name.setLength(0);
                state = State.TRAILER_NAME;
            }
        }
    }

    private State endField() {
        String text = trimSpaces(value.toString());
        boolean isRepeated = false;
        if (isNamed(LENGTH_FIELD)) {
            isRepeated = length != null;
            length = text;
        } else if (isNamed(CODING_FIELD)) {
            isRepeated = coding != null;
            coding = text;
        }
        name.setLength(0);
        value.setLength(0);
        return isRepeated ? State.INVALID : State.FIELD_NAME;
    }

    private static String trimSpaces(String text) {
        return text.replaceAll("^[ \t]+|[ \t]+$", "");
    }

    private State endHead() {
        if (coding != null) {
            boolean isChunked = length == null
                    && startLineEnd == HTTP_1_1
                    && CODING_FORMAT.matcher(coding).matches();
            return isChunked ? beginChunk() : State.INVALID;
        }
        if (length == null) {
            return State.COMPLETE;
        }
        if (!LENGTH_FORMAT.matcher(length).matches()) {
            return State.INVALID;
        }
        bytesLeft = Long.parseLong(length);
        return bytesLeft == 0 ? State.COMPLETE : State.BODY;
    }

    private State beginChunk() {
        bytesLeft = 0;
        hasChunkSize = false;
        return State.CHUNK_SIZE;
    }

    private State endChunkHead() {
        if (!hasChunkSize) {
            return State.INVALID;
        }
        name.setLength(0);
        return bytesLeft == 0 ? State.TRAILER_NAME : State.CHUNK_DATA;
    }
}
