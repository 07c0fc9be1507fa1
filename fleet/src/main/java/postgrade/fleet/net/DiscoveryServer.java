package postgrade.fleet.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import postgrade.fleet.Clock;
import postgrade.fleet.Ledger;

/**
 * The agent of discovery on one dispatcher's machine: serves the list and the watch, learns of
 * changes late, loses some of them until the next, and may fall silent. Writes down when it told
 * what.
 */
final class DiscoveryServer {

    private static final long KEEP_ALIVE_MS = 2000;

    /** What is listed of one worker. */
    record Entry(
            String id, String address, String zone, String kind, String state, long startedMillis) {
        String json() {
            return "{\"id\":\""
                    + id
                    + "\",\"addr\":\""
                    + address
                    + "\",\"zone\":\""
                    + zone
                    + "\",\"kind\":\""
                    + kind
                    + "\",\"cell\":0,\"state\":\""
                    + state
                    + "\",\"weight\":1.0,\"started_ms\":"
                    + startedMillis
                    + "}";
        }
    }

    private record Version(long number, List<Entry> changed) {}

    private final int dispatcher;
    private final EventLoop loop;
    private final Ledger ledger;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Version> versions = new ArrayList<>();
    private final Set<Channel> watchers = new HashSet<>();
    private long version = 1;
    private Channel listener;
    private boolean silent;

    DiscoveryServer(int dispatcher, EventLoop loop, Ledger ledger) {
        this.dispatcher = dispatcher;
        this.loop = loop;
        this.ledger = ledger;
    }

    int listen() throws InterruptedException {
        listener =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel c) {
                                        c.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(Http.MOST_BODY),
                                                        new Requests());
                                    }
                                })
                        .bind("127.0.0.1", 0)
                        .sync()
                        .channel();
        loop.scheduleAtFixedRate(
                () -> push("\n"), KEEP_ALIVE_MS, KEEP_ALIVE_MS, TimeUnit.MILLISECONDS);
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** The first list, known to all from the start. */
    void known(List<Entry> all) {
        all.forEach(e -> entries.put(e.id, e));
    }

    /** Takes changes in and passes them on. Any thread. */
    void change(List<Entry> changed) {
        loop.execute(
                () -> {
                    version++;
                    changed.forEach(e -> entries.put(e.id, e));
                    versions.add(new Version(version, changed));
                    push(json(version, false, changed) + "\n");
                    if (!silent && !watchers.isEmpty()) {
                        told(changed);
                    }
                });
    }

    private void told(List<Entry> of) {
        long now = Clock.micros();
        of.forEach(e -> ledger.add(now, "told", e.id, "n" + (dispatcher + 1), "state=" + e.state));
    }

    void silent(boolean now) {
        loop.execute(() -> silent = now);
    }

    private void push(String text) {
        if (!silent) {
            watchers.forEach(
                    c ->
                            c.writeAndFlush(
                                    new DefaultHttpContent(
                                            Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))));
        }
    }

    /** The list in discovery's form. */
    static String json(long version, boolean full, Iterable<Entry> entries) {
        StringBuilder s =
                new StringBuilder("{\"version\":")
                        .append(version)
                        .append(",\"full\":")
                        .append(full)
                        .append(",\"servers\":[");
        String comma = "";
        for (Entry e : entries) {
            s.append(comma).append(e.json());
            comma = ",";
        }
        return s.append("]}").toString();
    }

    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest r) {
            QueryStringDecoder q = new QueryStringDecoder(r.uri());
            ledger.add(
                    Clock.micros(),
                    "asked",
                    "",
                    "n" + (dispatcher + 1),
                    q.parameters().containsKey("watch") ? "what=watch" : "what=list");
            if (silent) {
                return;
            }
            if (!q.path().equals("/api/targets")) {
                ctx.writeAndFlush(Http.response(404, ""));
                return;
            }
            List<Entry> present =
                    entries.values().stream().filter(e -> !e.state.equals("gone")).toList();
            if (!q.parameters().containsKey("watch")) {
                ctx.writeAndFlush(Http.response(200, json(version, true, present)));
                told(new ArrayList<>(entries.values()));
                return;
            }
            long from = Long.parseLong(q.parameters().getOrDefault("from", List.of("0")).get(0));
            DefaultHttpResponse head =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set("Transfer-Encoding", "chunked");
            ctx.write(head);
            watchers.add(ctx.channel());
            Map<String, Entry> changed = new LinkedHashMap<>();
            versions.stream()
                    .filter(v -> v.number > from)
                    .forEach(v -> v.changed.forEach(e -> changed.put(e.id, e)));
            boolean whole = from < 1 || from > version;
            String first =
                    whole ? json(version, true, present) : json(version, false, changed.values());
            ctx.writeAndFlush(
                    new DefaultHttpContent(
                            Unpooled.copiedBuffer(first + "\n", StandardCharsets.UTF_8)));
            told(whole ? new ArrayList<>(entries.values()) : new ArrayList<>(changed.values()));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            watchers.remove(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable e) {
            ctx.close();
        }
    }
}
