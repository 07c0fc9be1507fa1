package postgrade.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import org.junit.Test;

/** Messages come cut at any byte: at every point where one may be cut, the same is read. */
public class PiecesTest {

    private static final String BODY = "Content-Length: 5\r\n\r\nh\u00e4 \r\n";
    private static final String CHUNKED =
            "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\na\r\n\r\n2\r\nbc\r\n0\r\nTrailer: t\r\n\r\n";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String told(Message m) {
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

    /** Each cut into two, and into single bytes. */
    private static void atEveryPoint(String text, Supplier<MessageParser> parsers)
            throws BadMessageException {
        byte[] all = bytes(text);
        String whole = told(parsers.get().parse(ByteBuffer.wrap(all)));
        MessageParser drop = parsers.get();
        for (int cut = 0; cut < all.length; cut++) {
            MessageParser two = parsers.get();
            assertNull("not whole yet at " + cut, two.parse(ByteBuffer.wrap(all, 0, cut)));
            assertEquals(
                    "cut at " + cut,
                    whole,
                    told(two.parse(ByteBuffer.wrap(all, cut, all.length - cut))));
            Message end = drop.parse(ByteBuffer.wrap(all, cut, 1));
            if (cut < all.length - 1) {
                assertNull(end);
            } else {
                assertNotNull(end);
                assertEquals(whole, told(end));
            }
        }
    }

    @Test
    public void requestsAndResponsesAreReadAlikeWhereverTheyAreCut() throws BadMessageException {
        for (String rest : new String[] {BODY, CHUNKED}) {
            atEveryPoint(
                    "POST /api?a=b HTTP/1.1\r\nHost: x\r\nX-Class: price\r\n" + rest,
                    MessageParser::forRequests);
            atEveryPoint(
                    "\r\nPUT /standby HTTP/1.1\nX-Class: p\n" + rest, MessageParser::forRequests);
            atEveryPoint(
                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\n" + rest,
                    MessageParser::forResponses);
        }
        atEveryPoint("GET /-/ready HTTP/1.1\r\n\r\n", MessageParser::forRequests);
        atEveryPoint("HTTP/1.1 204 No Content\r\n\r\n", MessageParser::forResponses);
    }

    @Test
    public void aStreamGivesTheSameBytesWhereverItIsCut() throws BadMessageException {
        byte[] all = bytes("HTTP/1.1 200 OK\r\n" + CHUNKED);
        for (int cut = 0; cut <= all.length; cut++) {
            StringBuilder got = new StringBuilder();
            MessageParser p =
                    MessageParser.forStreamingResponse(
                            piece -> got.append(new String(piece, StandardCharsets.US_ASCII)));
            p.parse(ByteBuffer.wrap(all, 0, cut));
            p.parse(ByteBuffer.wrap(all, cut, all.length - cut));
            assertEquals("cut at " + cut, "a\r\nbc", got.toString());
        }
    }
}
