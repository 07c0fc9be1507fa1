package postgrade.provider;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import postgrade.gateway.Timers;
import postgrade.http.BadMessage;
import postgrade.http.Connection;
import postgrade.http.Message;
import postgrade.http.MessageParser;

/** One connection to a provider. It carries one request at a time and never sends one again. */
final class Link implements Connection.Owner {
    final Pool pool;
    final InetSocketAddress to;
    final MessageParser parser = MessageParser.ofResponses();
    Connection connection;
    Request request;
    Timers.Timer timer;
    boolean up;
    private boolean spoilt;
    /** When it was last left idle, and how long it had been so when it was given its request. */
    long freeMicros;
    long idleMicros;

    Link(Pool pool, InetSocketAddress to) {
        this.pool = pool;
        this.to = to;
    }

    void carry(Request r) {
        request = r;
        r.link = this;
        connection.idle(false, false);
        r.writeTo(connection);
    }

    @Override
    public void connected(Connection c) {
        pool.cameUp(this);
    }

    @Override
    public void received(Connection c, ByteBuffer bytes) throws BadMessage {
        if (request == null) {
            fail(); // Guards the next request: bytes that nobody asked for would be taken for its response.
            return;
        }
        Message response = parser.parse(bytes);
        if (response != null) {
            finish(response, bytes.hasRemaining());
        }
    }

    private void finish(Message response, boolean more) {
        Request done = request;
        request = null;
        if (more || !response.keepsAlive() || !connection.allSent()) {
            connection.close();
            pool.dropped(this);
        } else {
            pool.free(this);
        }
        done.link = null;
        done.over = true;
        done.answered(response);
    }

    @Override
    public void ended(Connection c) {
        Message response = parser.atEnd();
        if (response != null && request != null) {
            finish(response, true);
        }
    }

    @Override
    public void bad(Connection c, BadMessage e) {
        spoilt = true;
        fail();
    }

    @Override
    public void closed(Connection c) {
        fail();
    }

    /** Closes the connection; what it carried is told how far it had come. */
    void fail() {
        boolean written = connection.allSent();
        connection.close();
        pool.dropped(this);
        Request lost = request;
        request = null;
        if (lost != null) {
            pool.brokeAfterIdle(idleMicros);
            lost.link = null;
            lost.over = true;
            lost.broken(!written ? Request.Break.NEVER_WRITTEN
                    : answerBegan() ? Request.Break.IN_ANSWER : Request.Break.AFTER_LAST_BYTE);
        }
    }

    /** Some of an answer to what it carries has come, or something that is none. */
    boolean answerBegan() {
        return spoilt || !parser.atStart();
    }

    /** Closes the connection under a request that has been given up; the request hears nothing. */
    void abort() {
        request.over = true;
        request.link = null;
        request = null;
        connection.close();
        pool.dropped(this);
    }
}
