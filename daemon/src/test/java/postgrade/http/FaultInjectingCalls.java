package postgrade.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.EnumMap;
import java.util.Map;

/** System calls that fail, transfer less than asked or return early as often as a test asks. */
public final class FaultInjectingCalls implements SystemCalls {

    public enum Call {
        SELECT,
        ACCEPT,
        OPEN,
        CONNECT,
        FINISH_CONNECT,
        READ,
        WRITE
    }

    /** Creates the exception of a call that is to fail. */
    public interface Failure {
        IOException make();
    }

    private final Map<Call, Integer> remainingFailures = new EnumMap<>(Call.class);
    private final Map<Call, Failure> failureFactories = new EnumMap<>(Call.class);
    private boolean oneByteAtATime;

    /** Makes the next calls of this kind fail. */
    public synchronized void fail(Call call, int times, Failure failure) {
        remainingFailures.put(call, times);
        failureFactories.put(call, failure);
    }

    /** Makes reads and writes transfer one byte each from now on. */
    public synchronized void moveOneByteAtATime() {
        oneByteAtATime = true;
    }

    /** Returns how many of the requested failures are still to come. */
    public synchronized int failuresLeft(Call call) {
        return remainingFailures.getOrDefault(call, 0);
    }

    private synchronized void failIfScheduled(Call call) throws IOException {
        int left = failuresLeft(call);
        if (left > 0) {
            remainingFailures.put(call, left - 1);
            throw failureFactories.get(call).make();
        }
    }

    private synchronized boolean isShort() {
        return oneByteAtATime;
    }

    @Override
    public void select(Selector selector, long millis) throws IOException {
        failIfScheduled(Call.SELECT);
        SystemCalls.super.select(selector, millis);
    }

    @Override
    public SocketChannel accept(ServerSocketChannel server) throws IOException {
        failIfScheduled(Call.ACCEPT);
        return SystemCalls.super.accept(server);
    }

    @Override
    public SocketChannel open() throws IOException {
        failIfScheduled(Call.OPEN);
        return SystemCalls.super.open();
    }

    @Override
    public void connect(SocketChannel channel, InetSocketAddress to) throws IOException {
        failIfScheduled(Call.CONNECT);
        SystemCalls.super.connect(channel, to);
    }

    @Override
    public void finishConnect(SocketChannel channel) throws IOException {
        failIfScheduled(Call.FINISH_CONNECT);
        SystemCalls.super.finishConnect(channel);
    }

    @Override
    public int read(SocketChannel channel, ByteBuffer into) throws IOException {
        failIfScheduled(Call.READ);
        if (!isShort()) {
            return SystemCalls.super.read(channel, into);
        }
        ByteBuffer one = ByteBuffer.allocate(1);
        int count = channel.read(one);
        into.put(one.flip());
        return count;
    }

    @Override
    public void write(SocketChannel channel, ByteBuffer[] parts) throws IOException {
        failIfScheduled(Call.WRITE);
        if (!isShort()) {
            SystemCalls.super.write(channel, parts);
            return;
        }
        for (ByteBuffer part : parts) {
            if (part.hasRemaining()) {
                channel.write(part.duplicate().limit(part.position() + 1));
                part.position(part.position() + 1);
                return;
            }
        }
    }
}
