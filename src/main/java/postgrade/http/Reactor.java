package postgrade.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;

/** The loop as channels see it. */
public interface Reactor {

    SelectionKey register(SelectableChannel channel, int interest, Handler handler) throws IOException;

    /** One buffer for all reads; what is in it must be taken before the handler returns. */
    ByteBuffer readBuffer();

    SocketBudget sockets();

    /** Whose channel is ready. */
    interface Handler {
        void ready(SelectionKey key) throws IOException;

        /** The handler threw; it closes its channel and tells its owner. */
        void failed(Exception e);

        /** Goes before the other ready channels of a turn. */
        default boolean urgent() {
            return false;
        }
    }
}
