package postgrade.fleet.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import postgrade.fleet.Clock;
import postgrade.fleet.Ledger;
import postgrade.fleet.model.Job;
import postgrade.fleet.model.Listener;
import postgrade.fleet.model.WorkerModel;
import postgrade.fleet.plan.FleetPlan;
import postgrade.fleet.plan.FleetPlan.JobClass;

/**
 * One emulated worker on sockets: the protocol's words round a {@link WorkerModel}. It has an
 * address for each dispatcher, by which it knows whom to call back. All of it runs on one event
 * loop.
 */
final class WorkerServer implements Listener {

    final FleetPlan.Worker worker;
    final FleetPlan plan;
    final EventLoop loop;
    final Ledger ledger;
    final SplittableRandom random;
    final WorkerModel model;
    private final int[] ports;
    private final Channel[] listeners;
    private final CallBackClient[] callBacks;
    private final Set<Channel> connections = new HashSet<>();
    private ScheduledFuture<?> timer;
    private long timerMicros = Long.MAX_VALUE;

    // What faults do to it.
    double failing;
    double resetting;
    boolean silent;
    String tailClass;
    double tailShare;
    double tailFactor = 1;

    WorkerServer(
            FleetPlan plan,
            FleetPlan.Worker worker,
            EventLoop loop,
            List<InetSocketAddress> dispatchers,
            Ledger ledger) {
        this.plan = plan;
        this.worker = worker;
        this.loop = loop;
        this.ledger = ledger;
        random = new SplittableRandom(plan.seed ^ worker.id().hashCode());
        model =
                new WorkerModel(
                        worker.spec(),
                        Clock.micros(),
                        false,
                        (long) (plan.progressMs * 1000),
                        this);
        ports = new int[dispatchers.size()];
        listeners = new Channel[ports.length];
        callBacks =
                dispatchers.stream()
                        .map(d -> new CallBackClient(loop, d))
                        .toArray(CallBackClient[]::new);
    }

    // ---- Life.

    /**
     * Opens its addresses; the first time at ports that the system chooses, afterwards at the same.
     */
    void listen() throws InterruptedException {
        for (int d = 0; d < ports.length; d++) {
            listeners[d] = bind(d).sync().channel();
            ports[d] = ((InetSocketAddress) listeners[d].localAddress()).getPort();
        }
    }

    private io.netty.channel.ChannelFuture bind(int dispatcher) {
        return new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 256)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel c) {
                                accepted(dispatcher, c);
                            }
                        })
                .bind("127.0.0.1", ports[dispatcher]);
    }

    String address(int dispatcher) {
        return "127.0.0.1:" + ports[dispatcher];
    }

    private void accepted(int dispatcher, Channel c) {
        if (connections.size() >= plan.mostConnections) {
            Http.reset(c);
            return;
        }
        connections.add(c);
        note("connected", "", "via=" + dispatcher);
        c.closeFuture().addListener(f -> connections.remove(c));
        Http.FirstByte first = new Http.FirstByte();
        c.pipeline()
                .addLast(
                        first,
                        new HttpServerCodec(),
                        new HttpObjectAggregator(Http.MOST_BODY),
                        new WorkerRequests(this, dispatcher, first));
    }

    /** Runs a task on the worker's loop, at the present of its model. */
    void on(Runnable task) {
        loop.execute(
                () -> {
                    turn();
                    task.run();
                    rest();
                });
    }

    private void turn() {
        model.advance(Clock.micros());
    }

    /** Sets the timer for whatever the model does next by itself. */
    private void rest() {
        long next = model.nextMicros();
        if (next == timerMicros) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        timerMicros = next;
        if (next < Long.MAX_VALUE) {
            timer =
                    loop.schedule(
                            () -> {
                                timerMicros = Long.MAX_VALUE;
                                timer = null;
                                turn();
                                rest();
                            },
                            Math.max(0, next - Clock.micros()),
                            TimeUnit.MICROSECONDS);
        }
    }

    /**
     * Dies as a process does: connections are reset, new ones refused. With or without word of the
     * lost jobs.
     */
    void die(boolean agentTells) {
        note("died", "", "");
        List<Job> lost = model.die();
        for (CallBackClient c : callBacks) {
            c.die(); // The machine's agent outlives the process, and tells of what was lost.
        }
        for (Job job : lost) {
            Attempt a = (Attempt) job.attachment;
            end(a, "lost");
            if (agentTells && a.accepted) {
                tell(a, "lost", "");
            }
        }
        for (Channel c : listeners) {
            c.close();
        }
        new ArrayList<>(connections).forEach(Http::reset);
    }

    /** Starts again, cold, at its former addresses. */
    void restart() {
        for (int d = 0; d < ports.length; d++) {
            int at = d;
            bind(d).addListener(
                            (io.netty.channel.ChannelFutureListener)
                                    f -> {
                                        if (f.isSuccess()) {
                                            listeners[at] = f.channel();
                                        }
                                    });
        }
        model.restart();
        note("restarted", "", "");
    }

    void drain(boolean handsBack) {
        note("drains", "", "");
        model.drain(handsBack);
    }

    WorkerModel model() {
        return model;
    }

    void note(String event, String id, String detail) {
        ledger.add(Clock.micros(), event, id, worker.id(), detail);
    }

    // ---- Requests.

    /** The class stands in the path, since no header is passed on: {@code /api/CLASS}. */
    JobClass classOf(String uri) {
        String[] parts = new QueryStringDecoder(uri).path().split("/");
        return parts.length < 3 ? null : plan.classes.get(parts[2]);
    }

    double work(JobClass c, String id) {
        double work = plan.workMicros(c, id);
        boolean tail =
                tailShare > 0
                        && (tailClass == null || tailClass.equals(c.name()))
                        && new SplittableRandom(id.hashCode() * 7L + plan.seed).nextDouble()
                                < tailShare;
        return tail ? work * tailFactor : work;
    }

    /** Returns whether it had the job. */
    boolean giveUp(String id) {
        Attempt[] found = new Attempt[1];
        model.jobs()
                .forEachRemaining(
                        j -> {
                            if (j.id.equals(id)) {
                                found[0] = (Attempt) j.attachment;
                            }
                        });
        boolean dropped = model.giveUp(id) && found[0] != null;
        if (dropped) {
            end(found[0], "given-up");
        }
        return dropped;
    }

    void end(Attempt a, String how) {
        end(a, how, "");
    }

    void end(Attempt a, String how, String why) {
        if (!a.ended) {
            a.ended = true;
            note(how, a.id, "a=" + a.number + why);
        }
    }

    // ---- What becomes of jobs.

    private void tell(Attempt a, String state, String more) {
        if (silent) {
            return;
        }
        String json =
                "{\"id\":\""
                        + a.id
                        + "\",\"from\":\""
                        + worker.id()
                        + "\",\"state\":\""
                        + state
                        + "\""
                        + more
                        + "}";
        CallBackClient to = callBacks[a.dispatcher];
        long lateMs =
                plan.callBacks.lateMs() > 0
                        ? random.nextLong((long) plan.callBacks.lateMs() + 1)
                        : 0;
        Runnable send =
                () -> {
                    to.send(json);
                    if (random.nextDouble() < plan.callBacks.twice()) {
                        to.send(json);
                    }
                };
        if (lateMs > 0) {
            loop.schedule(send, lateMs, TimeUnit.MILLISECONDS);
        } else {
            send.run();
        }
    }

    @Override
    public void started(long now, Job job) {
        Attempt a = (Attempt) job.attachment;
        note(
                "started",
                a.id,
                "a="
                        + a.number
                        + (job.accelerated ? " accelerator=" + model.acceleratorOf(job) : ""));
        tell(a, "started", "");
    }

    @Override
    public void progress(long now, Job job, double share) {
        tell(
                (Attempt) job.attachment,
                "running",
                String.format(Locale.ROOT, ",\"share\":%.3f", share));
    }

    @Override
    public void done(long now, Job job) {
        Attempt a = (Attempt) job.attachment;
        String result = "r." + worker.id() + "." + a.number;
        if (!a.ended) {
            a.ended = true;
            note("done", a.id, "a=" + a.number + " result=" + result);
            tell(a, "done", ",\"result\":\"" + result + "\"");
        } else {
            note("ran-on", a.id, "a=" + a.number);
        }
    }

    @Override
    public void failed(long now, Job job) {
        Attempt a = (Attempt) job.attachment;
        end(a, "failed");
        tell(a, "failed", "");
    }

    @Override
    public void returned(long now, Job job) {
        Attempt a = (Attempt) job.attachment;
        end(a, "returned");
        tell(a, "returned", "");
    }

    @Override
    public void fellOver(long now) {
        note("fell-over", "", "");
        loop.execute(() -> die(false));
    }
}
