package postgrade.fleet.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import postgrade.fleet.Clock;
import postgrade.fleet.model.Fence;
import postgrade.fleet.model.Job;
import postgrade.fleet.plan.FleetPlan.JobClass;

/** What comes on one connection to a worker: jobs, and jobs that are given up. */
final class WorkerRequests extends SimpleChannelInboundHandler<FullHttpRequest> {

    /** So late is a 202 that its call-back precedes. */
    private static final long EARLY_MICROS = 20_000;

    private final WorkerServer server;
    private final int dispatcher;
    private final Http.FirstByte first;
    private boolean fresh = true;
    private Attempt unanswered;

    /** A job has come that is not answered yet. */
    private boolean answering;

    /** The id of the latest job. */
    private String latestJob;

    /** What has come meanwhile. */
    private final Deque<FullHttpRequest> behind = new ArrayDeque<>();

    private ScheduledFuture<?> idle;

    WorkerRequests(WorkerServer server, int dispatcher, Http.FirstByte first) {
        this.server = server;
        this.dispatcher = dispatcher;
        this.first = first;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        idleFrom(ctx);
    }

    private void idleFrom(ChannelHandlerContext ctx) {
        idle =
                server.loop.schedule(
                        () -> {
                            if (unanswered == null) {
                                ctx.close();
                            }
                        },
                        (long) server.plan.idleMs,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest r) {
        if (server.silent) {
            return; // A machine cut off: it takes bytes, as the system does, and says nothing.
        }
        if (idle != null) {
            idle.cancel(false);
        }
        if (answering) {
            behind.add(r.retain()); // Answers go out in the order of their requests.
            return;
        }
        take(ctx, r);
    }

    private void take(ChannelHandlerContext ctx, FullHttpRequest r) {
        long firstMicros = first.take();
        if (!r.decoderResult().isSuccess()) {
            ctx.writeAndFlush(Http.response(400, "")).addListener(f -> ctx.close());
            return;
        }
        String uri = r.uri();
        String id = r.headers().get("X-Request-Id");
        if (r.method().name().equals("DELETE") && uri.startsWith("/jobs/")) {
            server.on(
                    () -> {
                        boolean found = server.giveUp(uri.substring(6));
                        server.note(
                                "delete",
                                uri.substring(6),
                                "via=" + dispatcher + " found=" + found);
                        answer(ctx, 200, "");
                    });
        } else if (r.method().name().equals("POST") && id != null) {
            answering = true;
            latestJob = id;
            long micros = Clock.micros();
            String fence = r.headers().get("X-Fence");
            if (fresh && server.plan.handshakeMs > 0) {
                // What a handshake costs the first request of a connection.
                server.loop.schedule(
                        () -> server.on(() -> take(ctx, id, uri, fence, micros, firstMicros)),
                        (long) (server.plan.handshakeMs * 1000),
                        TimeUnit.MICROSECONDS);
            } else {
                server.on(() -> take(ctx, id, uri, fence, micros, firstMicros));
            }
            fresh = false;
        } else {
            answer(ctx, 404, "");
        }
    }

    private void answer(ChannelHandlerContext ctx, int status, String body, String... headers) {
        unanswered = null;
        answering = false;
        if (ctx.channel().isActive() && !server.silent) {
            ctx.writeAndFlush(Http.response(status, body, headers));
            idleFrom(ctx);
            takeNext(ctx);
        }
    }

    private void takeNext(ChannelHandlerContext ctx) {
        FullHttpRequest next = behind.poll();
        if (next != null) {
            idle.cancel(false);
            try {
                take(ctx, next);
            } finally {
                next.release();
            }
        }
    }

    private void take(
            ChannelHandlerContext ctx,
            String id,
            String uri,
            String fence,
            long micros,
            long firstMicros) {
        JobClass c = server.classOf(uri);
        Attempt a = new Attempt(dispatcher, id, ctx.channel());
        server.ledger.add(
                micros,
                "received",
                id,
                server.worker.id(),
                "a="
                        + a.number
                        + " via="
                        + dispatcher
                        + " first="
                        + firstMicros
                        + " class="
                        + (c == null ? "?" : c.name())
                        + " repeatable="
                        + (c == null || c.repeatable())
                        + " capacity="
                        + Math.round(server.model.capacity() * 1000)
                        + " work="
                        + (c == null ? 0 : Math.round(server.work(c, id)))
                        + (fence == null ? "" : " fence=" + fence));
        if (!ctx.channel().isActive()) {
            server.end(a, "given-up");
            return;
        }
        if (c == null) {
            server.end(a, "turned-away");
            answer(ctx, 400, "no such class\n");
            return;
        }
        if (server.resetting > 0 && server.random.nextDouble() < server.resetting) {
            server.end(a, "reset");
            Http.reset(ctx.channel());
            return;
        }
        Fence grants;
        try {
            grants = Fence.of(fence);
        } catch (IllegalArgumentException e) {
            server.end(a, "turned-away");
            answer(ctx, 400, e.getMessage() + "\n");
            return;
        }
        Job job =
                new Job(
                        id,
                        c.priority(),
                        c.repeatable(),
                        server.work(c, id),
                        a,
                        c.accelerated(),
                        grants);
        unanswered = a;
        boolean outdated = server.model.turnsAway(job);
        if (!server.model.submit(job)) {
            server.end(a, "turned-away", outdated ? " by=fence" : "");
            answer(ctx, 503, "", "X-Not-Run", "1");
            return;
        }
        if (server.failing > 0 && server.random.nextDouble() < server.failing) {
            server.model.failAfter(job, 2000 + server.random.nextInt(8000));
        }
        if (a.ended) {
            return; // The worker fell over by it, or it is done already.
        }
        // A call-back may come before the 202.
        boolean early = server.random.nextDouble() < server.plan.callBacks.early();
        long answerMicros = early ? EARLY_MICROS : (long) (server.plan.answerMs * 1000);
        if (answerMicros > 0) {
            server.loop.schedule(() -> accept(ctx, a), answerMicros, TimeUnit.MICROSECONDS);
        } else {
            accept(ctx, a);
        }
    }

    private void accept(ChannelHandlerContext ctx, Attempt a) {
        if (!ctx.channel().isActive()) {
            return; // Given up by the close, or over.
        }
        a.accepted = true;
        server.note("accepted", a.id, "a=" + a.number);
        answer(ctx, 202, "");
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        Attempt a = unanswered;
        unanswered = null;
        if (answering) {
            server.note("connection-ended", latestJob, "via=" + dispatcher);
        }
        behind.forEach(FullHttpRequest::release);
        behind.clear();
        if (a != null && !a.ended && !a.accepted) {
            server.on(() -> server.giveUp(a.id)); // Closed before the 202: given up.
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable e) {
        ctx.close();
    }
}
