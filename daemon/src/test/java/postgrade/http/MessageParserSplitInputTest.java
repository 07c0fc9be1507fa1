package postgrade.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import org.junit.Test;

/**
 * A message may arrive split at any byte; the parser must return the same message for every split.
 */
public class MessageParserSplitInputTest {

    private static final String BODY = "Content-Length: 5\r\n\r\nh\u00e4 \r\n";
    private static final String CHUNKED =
            "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\na\r\n\r\n2\r\nbc\r\n0\r\nTrailer: t\r\n\r\n";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String describe(Message m) {
        return m.method()
                + " "
                + m.target()
                + " "
                + m.status()
                + " "
                + m.header("x-class")
                + " "
                + new String(m.body(), StandardCharsets.ISO_8859_1);
    }

    /** Parses the message split in two at every byte, and byte by byte. */
    private static void assertSameAtEverySplit(String text, Supplier<MessageParser> parserFactory)
            throws BadMessageException {
        byte[] bytes = bytes(text);
        String expected = describe(parserFactory.get().parse(ByteBuffer.wrap(bytes)));
        MessageParser byteByByte = parserFactory.get();
        for (int split = 0; split < bytes.length; split++) {
            MessageParser inTwoParts = parserFactory.get();
            assertNull(
                    "incomplete at " + split, inTwoParts.parse(ByteBuffer.wrap(bytes, 0, split)));
            assertEquals(
                    "split at " + split,
                    expected,
                    describe(
                            inTwoParts.parse(ByteBuffer.wrap(bytes, split, bytes.length - split))));
            Message end = byteByByte.parse(ByteBuffer.wrap(bytes, split, 1));
            if (split < bytes.length - 1) {
                assertNull(end);
            } else {
                assertNotNull(end);
                assertEquals(expected, describe(end));
            }
        }
    }

    @Test
    public void messagesParseTheSameAtEverySplit() throws BadMessageException {
        for (String headersAndBody : new String[] {BODY, CHUNKED}) {
            assertSameAtEverySplit(
                    "POST /api?a=b HTTP/1.1\r\nHost: x\r\nX-Class: price\r\n" + headersAndBody,
                    MessageParser::forRequests);
            assertSameAtEverySplit(
                    "\r\nPUT /standby HTTP/1.1\nX-Class: p\n" + headersAndBody,
                    MessageParser::forRequests);
            assertSameAtEverySplit(
                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\n" + headersAndBody,
                    MessageParser::forResponses);
        }
        assertSameAtEverySplit("GET /-/ready HTTP/1.1\r\n\r\n", MessageParser::forRequests);
        assertSameAtEverySplit("HTTP/1.1 204 No Content\r\n\r\n", MessageParser::forResponses);
    }

    /**
     * Guards against refusing a request, sent behind another one, whose first part ends anywhere.
     */
    @Test
    public void everyPrefixOfARequestMayBeOne() {
        byte[] all = bytes("POST /api?a=b HTTP/1.1\r\nHost: x\r\n\r\n");
        for (int length = 0; length <= all.length; length++) {
            assertTrue("of " + length, MessageParser.mayBeRequest(ByteBuffer.wrap(all, 0, length)));
        }
    }

    @Test
    public void streamedBodyIsTheSameAtEverySplit() throws BadMessageException {
        byte[] all = bytes("HTTP/1.1 200 OK\r\n" + CHUNKED);
        for (int split = 0; split <= all.length; split++) {
            StringBuilder body = new StringBuilder();
            MessageParser parser =
                    MessageParser.forStreamingResponse(
                            piece -> body.append(new String(piece, StandardCharsets.US_ASCII)));
            parser.parse(ByteBuffer.wrap(all, 0, split));
            parser.parse(ByteBuffer.wrap(all, split, all.length - split));
            assertEquals("split at " + split, "a\r\nbc", body.toString());
        }
    }
}
