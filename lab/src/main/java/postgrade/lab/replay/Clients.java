package postgrade.lab.replay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Clients on one event loop: connections to each target, one request at a time on each, kept and
 * opened as needed.
 */
final class Clients {

    private static final int CONNECT_MS = 2000;
    private static final int WARM_STEP_MS = 10;
    private static final int MOST_BODY = 1 << 20;

    /**
     * An answer's end this soon after the request may have crossed it: an idle connection that was
     * closed.
     */
    private static final long CROSSING = 20_000;

    /** The connections to one target. */
    private static final class Pool {
        final InetSocketAddress target;
        final ArrayDeque<Channel> idle = new ArrayDeque<>();
        final ArrayDeque<Try> waiting = new ArrayDeque<>();
        int open;

        Pool(InetSocketAddress target) {
            this.target = target;
        }
    }

    private final Replay replay;
    private final EventLoop loop;
    private final int most;
    private final Map<InetSocketAddress, Pool> pools = new HashMap<>();

    Clients(Replay replay, EventLoop loop, int most) {
        this.replay = replay;
        this.loop = loop;
        this.most = most;
    }

    /**
     * Opens connections to a target and asks on each whether it is ready, so that the first jobs do
     * not pay for what the virtual machine and the system do only once.
     *
     * @return completed once all have been answered or given up
     */
    CompletableFuture<Void> warm(InetSocketAddress target, int connections, int rounds) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(
                () -> {
                    Pool pool = pools.computeIfAbsent(target, Pool::new);
                    Warming w = new Warming(pool, Math.min(connections, most), rounds, done);
                    for (int i = 0; i < w.connections; i++) {
                        connect(pool);
                    }
                    loop.schedule(w::round, WARM_STEP_MS, TimeUnit.MILLISECONDS);
                });
        return done;
    }

    /** Questions asked in rounds on all idle connections. */
    private final class Warming {
        private final Pool pool;
        private final int connections;
        private final CompletableFuture<Void> done;
        private final Set<Channel> asked = new HashSet<>();
        private int left;

        Warming(Pool pool, int connections, int rounds, CompletableFuture<Void> done) {
            this.pool = pool;
            this.connections = connections;
            this.done = done;
            left = rounds;
        }

        void round() {
            if (left-- == 0) {
                asked.stream()
                        .filter(
                                c ->
                                        c.pipeline().get(Answers.class) != null
                                                && c.pipeline().get(Answers.class).warming)
                        .forEach(Channel::close); // They never answered.
                done.complete(null);
                return;
            }
            for (Channel c = pool.idle.poll(); c != null; c = pool.idle.poll()) {
                c.pipeline().get(Answers.class).warming = true;
                asked.add(c);
                c.writeAndFlush(
                        c.alloc()
                                .buffer()
                                .writeBytes(
                                        "GET /-/ready HTTP/1.1\r\nHost: w\r\n\r\n"
                                                .getBytes(StandardCharsets.ISO_8859_1)));
            }
            loop.schedule(this::round, WARM_STEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** From any thread. */
    void send(Try t, InetSocketAddress target) {
        loop.execute(
                () -> {
                    Pool pool = pools.computeIfAbsent(target, Pool::new);
                    pool.waiting.add(t);
                    loop.schedule(
                            () -> expire(pool, t),
                            t.deadlineMicros + replay.lingerMicros(),
                            TimeUnit.MICROSECONDS);
                    pump(pool);
                });
    }

    /** A try that waits for a connection until its time is over never leaves. */
    private void expire(Pool pool, Try t) {
        if (!t.over && t.sentMicros == 0 && pool.waiting.remove(t)) {
            replay.unsent(t, "no connection free");
        }
    }

    private void pump(Pool pool) {
        while (!pool.waiting.isEmpty()) {
            Channel c = pool.idle.pollLast();
            if (c == null) {
                // As many connections on their way as tries wait, within the bound.
                int connecting =
                        pool.open < most ? Math.min(pool.waiting.size(), most - pool.open) : 0;
                if (connecting > 0 && pool.waiting.size() > opening(pool)) {
                    connect(pool);
                }
                return;
            }
            if (c.isActive()) {
                write(pool, c, pool.waiting.poll());
            }
        }
    }

    private final Map<Pool, Integer> openings = new HashMap<>();

    private int opening(Pool pool) {
        return openings.getOrDefault(pool, 0);
    }

    private void connect(Pool pool) {
        pool.open++;
        openings.merge(pool, 1, Integer::sum);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel c) {
                                c.pipeline()
                                        .addLast(
                                                new HttpResponseDecoder(),
                                                new HttpObjectAggregator(MOST_BODY),
                                                new Answers(pool));
                            }
                        })
                .connect(pool.target)
                .addListener(
                        f -> {
                            openings.merge(pool, -1, Integer::sum);
                            if (!f.isSuccess()) {
                                pool.open--;
                                Try t = pool.waiting.poll();
                                if (t != null) {
                                    replay.unsent(t, "connection refused");
                                }
                                pump(pool);
                            }
                        });
        if (pool.waiting.size() > opening(pool) && pool.open < most) {
            connect(pool);
        }
    }

    private void write(Pool pool, Channel c, Try t) {
        Answers answers = c.pipeline().get(Answers.class);
        answers.current = t;
        answers.timeout =
                loop.schedule(
                        () -> answers.giveUp(c, t),
                        t.deadlineMicros + replay.lingerMicros(),
                        TimeUnit.MICROSECONDS);
        replay.left(t);
        c.writeAndFlush(request(c, pool.target, t));
    }

    /**
     * Written by hand: the headers of the protocol, a path that tells the class to whoever runs it,
     * and a body.
     */
    private static ByteBuf request(Channel c, InetSocketAddress target, Try t) {
        StringBuilder head =
                new StringBuilder(320)
                        .append("POST /api/")
                        .append(t.job.jobClass())
                        .append(" HTTP/1.1\r\nHost: ")
                        .append(target.getHostString())
                        .append("\r\nX-Request-Id: ")
                        .append(t.id)
                        .append("\r\nX-Class: ")
                        .append(t.job.jobClass());
        if (t.job.tenant() != null) {
            head.append("\r\nX-Tenant: ").append(t.job.tenant());
        }
        if (t.job.key() != null) {
            head.append("\r\nX-Key: ").append(t.job.key());
        }
        if (t.job.isRetry()) {
            head.append("\r\nX-Retry: 1");
        }
        int body = Math.min(t.job.bodyBytes(), 65_536);
        head.append("\r\nX-Deadline: ")
                .append(t.deadlineMicros)
                .append("u\r\nContent-Length: ")
                .append(body)
                .append("\r\n\r\n");
        ByteBuf bytes = c.alloc().buffer(head.length() + body);
        bytes.writeCharSequence(head, StandardCharsets.ISO_8859_1);
        for (int i = 0; i < body; i++) {
            bytes.writeByte('a' + i % 26);
        }
        return bytes;
    }

    void close() {
        loop.execute(() -> pools.values().forEach(p -> p.idle.forEach(Channel::close)));
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Pool pool;
        private Try current;
        private Future<?> timeout;
        private boolean used;
        private boolean warming;

        Answers(Pool pool) {
            this.pool = pool;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            pool.idle.add(ctx.channel());
            pump(pool);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse r) {
            Try t = current;
            current = null;
            if (timeout != null) {
                timeout.cancel(false);
            }
            if (warming && t == null) {
                warming = false;
                pool.idle.add(ctx.channel());
                pump(pool);
                return;
            }
            if (t == null) {
                ctx.close(); // An answer to nothing.
                return;
            }
            used = true;
            replay.answered(
                    t,
                    r.status().code(),
                    r.content().toString(StandardCharsets.UTF_8),
                    r.headers().get("Retry-After"));
            if (HttpUtil.isKeepAlive(r)) {
                pool.idle.add(ctx.channel());
            } else {
                ctx.close();
            }
            pump(pool);
        }

        void giveUp(Channel c, Try t) {
            if (current == t) {
                current = null;
                replay.gaveUp(t);
                c.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            pool.open--;
            pool.idle.remove(ctx.channel());
            if (timeout != null) {
                timeout.cancel(false);
            }
            if (current != null) {
                Try t = current;
                current = null;
                replay.broken(t, used && postgrade.fleet.Clock.micros() - t.sentMicros < CROSSING);
            }
            pump(pool);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable e) {
            ctx.close();
        }
    }
}
