package postgrade.lab.replay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import postgrade.trace.TraceJob;
import postgrade.trace.TraceWriter;
import postgrade.trace.wire.Header;

/**
 * Plays a short replay against a sink in this process, before the real one. Guards the schedule's
 * first seconds: code that the virtual machine has not compiled yet takes a hundred times as long.
 */
final class Rehearsal {

    private static final int RATE = 4000;

    private Rehearsal() {}

    static void run(double seconds, int loops) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("postgrade-rehearsal");
        NioEventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("sink", true));
        try {
            InetSocketAddress sink = sink(group, 0);
            Path trace = folder.resolve("r.trace");
            try (TraceWriter w = new TraceWriter(trace, Header.getDefaultInstance())) {
                for (int i = 0; i < seconds * RATE; i++) {
                    w.add(
                            new TraceJob(
                                    0,
                                    i * 1_000_000L / RATE,
                                    i % 8 == 0 ? "order-confirm" : "basket-price",
                                    "t",
                                    "k",
                                    5_000_000,
                                    200,
                                    0,
                                    -1,
                                    0,
                                    0,
                                    0,
                                    0));
                }
            }
            ReplayOptions o = new ReplayOptions();
            o.trace = trace;
            o.folder = folder;
            o.targets = List.of(sink);
            o.loops = loops;
            o.rehearsalSeconds = 0;
            o.warmRounds = 1;
            Replay.run(o);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2000);
            try (Stream<Path> files = Files.list(folder)) {
                for (Path f : files.toList()) {
                    Files.delete(f);
                }
            }
            Files.delete(folder);
        }
    }

    /** A target that answers everything after so long; it lives as long as its loops. */
    static InetSocketAddress sink(NioEventLoopGroup group, long delayMs)
            throws InterruptedException {
        return (InetSocketAddress)
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel c) {
                                        c.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(1 << 20),
                                                        new Sink(delayMs));
                                    }
                                })
                        .bind("127.0.0.1", 0)
                        .sync()
                        .channel()
                        .localAddress();
    }

    private static final class Sink extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final long delayMs;

        Sink(long delayMs) {
            this.delayMs = delayMs;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest r) {
            DefaultFullHttpResponse answer =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.OK,
                            Unpooled.copiedBuffer("r.w.1", StandardCharsets.US_ASCII));
            answer.headers().setInt("Content-Length", 5);
            if (delayMs == 0) {
                ctx.writeAndFlush(answer);
            } else {
                ctx.executor()
                        .schedule(() -> ctx.writeAndFlush(answer), delayMs, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable e) {
            ctx.close();
        }
    }
}
