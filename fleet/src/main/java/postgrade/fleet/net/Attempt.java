package postgrade.fleet.net;

import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicLong;

/** Where an attempt came from and how far its answer is. */
final class Attempt {

    private static final AtomicLong ATTEMPTS = new AtomicLong();

    final long number = ATTEMPTS.incrementAndGet();
    final int dispatcher;
    final String id;
    final Channel channel;
    boolean accepted;
    boolean ended;

    Attempt(int dispatcher, String id, Channel channel) {
        this.dispatcher = dispatcher;
        this.id = id;
        this.channel = channel;
    }
}
