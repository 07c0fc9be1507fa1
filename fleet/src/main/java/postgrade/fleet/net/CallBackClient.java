package postgrade.fleet.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * One worker's call-backs to one dispatcher: each repeated until it is answered, at most ten times.
 */
final class CallBackClient {

    private static final int MOST_TRIES = 10;
    private static final long PATIENCE_MS = 1000;
    private static final long AGAIN_MS = 100;
    private static final int MOST_CONNECTIONS = 4;

    private final EventLoop loop;
    private final InetSocketAddress to;
    private final ArrayDeque<Call> waiting = new ArrayDeque<>();
    private final ArrayDeque<Channel> idle = new ArrayDeque<>();
    private int open;

    private static final class Call {
        final String body;
        int tries;

        Call(String body) {
            this.body = body;
        }
    }

    CallBackClient(EventLoop loop, InetSocketAddress to) {
        this.loop = loop;
        this.to = to;
    }

    /** Sends one call-back. On the worker's loop only. */
    void send(String json) {
        waiting.add(new Call(json));
        pump();
    }

    /**
     * The worker's process has died: what it had not told yet is lost, and its idle connections are
     * reset.
     */
    void die() {
        waiting.clear();
        idle.forEach(Http::reset);
        idle.clear();
    }

    private void pump() {
        while (!waiting.isEmpty()) {
            Channel c = idle.pollFirst();
            if (c != null && !c.isActive()) {
                continue;
            }
            if (c == null) {
                if (open < MOST_CONNECTIONS) {
                    connect();
                }
                return;
            }
            write(c, waiting.poll());
        }
    }

    private void connect() {
        open++;
        ChannelFuture f =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) PATIENCE_MS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel c) {
                                        c.pipeline()
                                                .addLast(
                                                        new HttpClientCodec(),
                                                        new HttpObjectAggregator(Http.MOST_BODY),
                                                        new Answers());
                                    }
                                })
                        .connect(to);
        f.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        open--;
                        // The dispatcher is down or restarting: what waits loses one of its tries.
                        waiting.removeIf(call -> ++call.tries >= MOST_TRIES);
                        loop.schedule(this::pump, AGAIN_MS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    private void write(Channel c, Call call) {
        call.tries++;
        c.pipeline().get(Answers.class).call = call;
        FullHttpRequest r =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        "/v1/job-events",
                        Unpooled.copiedBuffer(call.body, StandardCharsets.UTF_8));
        r.headers().set("Host", "dispatcher").setInt("Content-Length", r.content().readableBytes());
        c.writeAndFlush(r);
        Answers answers = c.pipeline().get(Answers.class);
        answers.timeout = loop.schedule(() -> c.close(), PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Call call;
        private java.util.concurrent.Future<?> timeout;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            idle.add(ctx.channel());
            pump();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse r) {
            Call answered = call;
            call = null;
            if (timeout != null) {
                timeout.cancel(false);
            }
            if (answered != null && r.status().code() != 200 && r.status().code() != 204) {
                again(answered);
            }
            if (io.netty.handler.codec.http.HttpUtil.isKeepAlive(r)) {
                idle.add(ctx.channel());
            } else {
                ctx.close();
            }
            pump();
        }

        private void again(Call failed) {
            if (failed.tries < MOST_TRIES) {
                loop.schedule(
                        () -> {
                            waiting.add(failed);
                            pump();
                        },
                        AGAIN_MS,
                        TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open--;
            idle.remove(ctx.channel());
            if (timeout != null) {
                timeout.cancel(false);
            }
            if (call != null) {
                Call broken = call;
                call = null;
                again(broken);
            }
            pump();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable e) {
            ctx.close();
        }
    }
}
