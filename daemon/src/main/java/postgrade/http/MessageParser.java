package postgrade.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * An incremental parser for HTTP/1.1, one message at a time. Every part is bounded, so that a peer
 * cannot make the process hold more than a head and a body of the maximum size.
 */
public final class MessageParser {

    public static final int MAX_BODY_BYTES = 64 << 10;
    static final int MAX_HEAD_BYTES = 16 << 10;
    static final int MAX_HEADERS = 64;
    private static final int SMALL_BODY_BYTES = 256;
    private static final int SMALL_LINE_BYTES = 256;

    /** The objects around the name and the value of a header. */
    private static final int HEADER_OVERHEAD_BYTES = 120;

    private static final int MAX_STREAMED_CHUNK_BYTES = 16 << 20;

    /** Matches any prefix of a valid start line of a request. */
    private static final Pattern START_LINE_PREFIX =
            Pattern.compile("\\r?|[A-Z]{0,16}|[A-Z]{1,16} (/.*\\r?)?");

    private enum State {
        START_LINE,
        HEADERS,
        BODY,
        BODY_UNTIL_CLOSE,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS
    }

    private final boolean parsesRequests;
    private final Consumer<byte[]> pieceConsumer;
    private final int maxBodyBytes;
    private State state = State.START_LINE;
    private Message message = new Message();
    private byte[] line = new byte[SMALL_LINE_BYTES];
    private int lineLength;
    private int headLength;
    private long remaining;
    private boolean expectsContinue;
    private ByteArrayOutputStream body = new ByteArrayOutputStream(SMALL_BODY_BYTES);

    private MessageParser(
            boolean parsesRequests, Consumer<byte[]> pieceConsumer, int maxBodyBytes) {
        this.parsesRequests = parsesRequests;
        this.pieceConsumer = pieceConsumer;
        this.maxBodyBytes = maxBodyBytes;
    }

    public static MessageParser forRequests() {
        return forRequests(MAX_BODY_BYTES);
    }

    /** Returns a parser of requests with another limit for bodies. */
    public static MessageParser forRequests(int maxBodyBytes) {
        return new MessageParser(true, null, maxBodyBytes);
    }

    public static MessageParser forResponses() {
        return new MessageParser(false, null, MAX_BODY_BYTES);
    }

    /**
     * Returns a parser for one response with a body of unlimited length, which is passed on in
     * pieces as it arrives.
     */
    public static MessageParser forStreamingResponse(Consumer<byte[]> pieceConsumer) {
        return new MessageParser(false, pieceConsumer, MAX_STREAMED_CHUNK_BYTES);
    }

    /**
     * Whether the bytes may be the beginning of a request. The buffer's position does not change.
     */
    public static boolean mayBeRequest(ByteBuffer bytes) {
        try {
            MessageParser parser = forRequests();
            parser.parse(bytes.duplicate());
            String line =
                    new String(parser.line, 0, parser.lineLength, StandardCharsets.ISO_8859_1);
            return parser.state != State.START_LINE || START_LINE_PREFIX.matcher(line).matches();
        } catch (BadMessageException e) {
            return false;
        }
    }

    /** Whether no byte of the next message has been read. */
    public boolean isAtMessageStart() {
        return state == State.START_LINE && lineLength == 0;
    }

    /**
     * Returns true once if the sender of the request waits for {@code 100 Continue} before it sends
     * the body.
     */
    public boolean consumeExpectContinue() {
        boolean expects = expectsContinue;
        expectsContinue = false;
        return expects;
    }

    /** Returns the number of bytes received of an incomplete body. */
    public int bodyBytesReceived() {
        return body.size();
    }

    /**
     * Returns the memory that the incomplete message takes, estimated with its objects; 0 between
     * messages.
     */
    public long heldBytes() {
        return isAtMessageStart()
                ? 0
                : line.length
                        + 2L * body.size() // Its buffer doubles.
                        + message.textLength
                        + (long) message.names.size() * HEADER_OVERHEAD_BYTES;
    }

    /**
     * Consumes bytes up to the end of one message at most. Returns the message once it is complete,
     * null until then.
     */
    public Message parse(ByteBuffer in) throws BadMessageException {
        while (in.hasRemaining()) {
            boolean complete =
                    switch (state) {
                        case BODY, BODY_UNTIL_CLOSE, CHUNK -> readBody(in);
                        default -> readLine(in) && parseLine();
                    };
            if (complete) {
                return finish();
            }
        }
        return null;
    }

    /**
     * The peer has closed its side, which ends a response without a declared length. Returns null
     * if a message is cut short by it.
     */
    public Message endOfInput() {
        return state == State.BODY_UNTIL_CLOSE ? finish() : null;
    }

    private Message finish() {
        Message finished = message;
        finished.body = body.toByteArray();
        message = new Message();
        if (finished.body.length > SMALL_BODY_BYTES) {
            // Bounds memory: an idle connection keeps no large buffer.
            body = new ByteArrayOutputStream(SMALL_BODY_BYTES);
        }
        body.reset();
        if (line.length > SMALL_LINE_BYTES) {
            line = new byte[SMALL_LINE_BYTES];
        }
        state = State.START_LINE;
        headLength = 0;
        return finished;
    }

    private boolean readLine(ByteBuffer in) throws BadMessageException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                if (lineLength > 0 && line[lineLength - 1] == '\r') {
                    lineLength--;
                }
                return true;
            }
            if (++headLength > MAX_HEAD_BYTES) {
                throw new BadMessageException(431, "head too large");
            }
            if (lineLength == line.length) {
                line = Arrays.copyOf(line, 2 * line.length);
            }
            line[lineLength++] = b;
        }
        return false;
    }

    /** Returns true if the message is complete with this line. */
    private boolean parseLine() throws BadMessageException {
        String text = new String(line, 0, lineLength, StandardCharsets.ISO_8859_1);
        lineLength = 0;
        switch (state) {
            case START_LINE -> {
                // Blank lines before a message are allowed, and count towards the head's size
                // limit.
                if (!text.isEmpty()) {
                    parseStartLine(text);
                    state = State.HEADERS;
                }
                return false;
            }
            case HEADERS -> {
                if (text.isEmpty()) {
                    return endOfHead();
                }
                parseHeader(text);
                return false;
            }
            case CHUNK_SIZE -> {
                parseChunkSize(text);
                return false;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new BadMessageException(400, "chunk longer than its size");
                }
                state = State.CHUNK_SIZE;
                headLength = 0;
                return false;
            }
            default -> {
                return text.isEmpty(); // The end of the trailers, which are ignored.
            }
        }
    }

    private void parseStartLine(String text) throws BadMessageException {
        String[] words = text.split(" ", 3);
        String version = parsesRequests ? words[words.length - 1] : words[0];
        if (words.length < (parsesRequests ? 3 : 2)
                || !version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
            throw new BadMessageException(400, "not a start line of HTTP/1.1");
        }
        message.http10 = version.equals("HTTP/1.0");
        if (parsesRequests) {
            if (!isToken(words[0])
                    || words[1].isEmpty()
                    || words[1].chars().anyMatch(c -> c <= ' ' || c > '~')) {
                throw new BadMessageException(400, "bad method or target");
            }
            message.method = words[0];
            message.target = words[1];
            message.textLength = text.length();
        } else {
            message.status = (int) parseNumber(words[1], 10, 999, 400);
            if (message.status < 100) {
                throw new BadMessageException(400, "bad status");
            }
        }
    }

    private void parseHeader(String text) throws BadMessageException {
        int colon = text.indexOf(':');
        if (colon < 0 || !isToken(text.substring(0, colon))) {
            throw new BadMessageException(400, "bad header line"); // This includes folded lines.
        }
        if (message.names.size() == MAX_HEADERS) {
            throw new BadMessageException(431, "too many headers");
        }
        String value = text.substring(colon + 1).strip();
        if (value.chars().anyMatch(c -> c < ' ' && c != '\t')) {
            // A control character could split the head that is forwarded.
            throw new BadMessageException(400, "control character in a header");
        }
        message.names.add(text.substring(0, colon).toLowerCase(Locale.ROOT));
        message.values.add(value);
        message.textLength += text.length();
    }

    /** Returns true if the message has no body. */
    private boolean endOfHead() throws BadMessageException {
        boolean chunked = message.header("transfer-encoding") != null;
        if (chunked
                && (message.http10
                        || !message.header("transfer-encoding").equalsIgnoreCase("chunked"))) {
            throw new BadMessageException(400, "transfer encoding not known");
        }
        // Prevents request smuggling: rejects whatever allows two interpretations of the
        // message's end.
        if (message.headerCount("content-length") + message.headerCount("transfer-encoding") > 1) {
            throw new BadMessageException(400, "more than one length or transfer encoding");
        }
        String contentLength = message.header("content-length");
        long length =
                contentLength == null ? -1 : parseNumber(contentLength, 10, maxBodyBytes, 413);
        if (!parsesRequests
                && (message.status < 200 || message.status == 204 || message.status == 304)) {
            if (message.status < 200) { // An interim response: the final one follows.
                finish();
                return false;
            }
            return true;
        }
        if (chunked) {
            state = State.CHUNK_SIZE;
            headLength = 0;
        } else if (length > 0) {
            state = State.BODY;
            remaining = length;
        } else if (length < 0 && !parsesRequests) {
            state = State.BODY_UNTIL_CLOSE;
            remaining = Long.MAX_VALUE;
        }
        expectsContinue =
                parsesRequests
                        && state != State.HEADERS
                        && message.hasToken("expect", "100-continue");
        return state == State.HEADERS;
    }

    private void parseChunkSize(String text) throws BadMessageException {
        int end = text.indexOf(';');
        remaining = parseNumber(end < 0 ? text : text.substring(0, end), 16, maxBodyBytes, 413);
        state = remaining == 0 ? State.TRAILERS : State.CHUNK;
        headLength = remaining == 0 ? headLength : 0;
    }

    /** Returns true if the message is complete with these bytes. */
    private boolean readBody(ByteBuffer in) throws BadMessageException {
        byte[] piece = new byte[(int) Math.min(remaining, in.remaining())];
        in.get(piece);
        remaining -= state == State.BODY_UNTIL_CLOSE ? 0 : piece.length;
        if (pieceConsumer != null) {
            pieceConsumer.accept(piece);
        } else if (body.size() + piece.length > maxBodyBytes) {
            throw new BadMessageException(413, "body too large");
        } else {
            body.write(piece, 0, piece.length);
        }
        if (remaining == 0 && state == State.CHUNK) {
            state = State.CHUNK_END;
        }
        return remaining == 0 && state == State.BODY;
    }

    private long parseNumber(String text, int radix, long max, int statusIfTooLarge)
            throws BadMessageException {
        if (!isNumber(text, radix)) {
            throw new BadMessageException(400, "not a number where one is due");
        }
        long value = 0;
        for (int i = 0; i < text.length(); i++) {
            value = value * radix + Character.digit(text.charAt(i), radix);
            if (value > max) {
                throw new BadMessageException(statusIfTooLarge, "too large a number");
            }
        }
        return value;
    }

    /** A plain loop, as it is called for each chunk of a body. */
    private static boolean isNumber(String text, int radix) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (Character.digit(c, radix) < 0 || c > 'f') {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private static boolean isToken(String text) {
        return !text.isEmpty()
                && text.chars()
                        .allMatch(c -> c > ' ' && c < 127 && "()<>@,;:\\\"/[]?={}".indexOf(c) < 0);
    }
}
