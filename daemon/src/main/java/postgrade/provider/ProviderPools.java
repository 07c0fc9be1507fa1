package postgrade.provider;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.Dispatcher.Outcome;
import postgrade.gateway.Gateway;
import postgrade.gateway.InvokerCall;
import postgrade.gateway.Payload;
import postgrade.gateway.Providers;
import postgrade.gateway.Timers;
import postgrade.http.Message;
import postgrade.http.MessageWriter;
import postgrade.http.Reactor;
import postgrade.log.Events;

/** Speaks to the providers: sends calls, gives them up, probes. */
public final class ProviderPools implements Providers {

    private static final Logger LOG = LoggerFactory.getLogger(ProviderPools.class);
    /** Idle connections are retired after this part of the time after which providers close them. */
    private static final double RETIRE = 0.6;
    private static final long PROBE_MICROS = 300_000;
    /** A call ended by its call-back leaves its connection once the 202 comes, which is due by then. */
    private static final long ANSWER_MICROS = 1_000_000;
    /** How long one DELETE may take, and the pause before the next. */
    private static final long GIVE_UP_MICROS = 400_000;
    /** A close before the 202 gives up by itself; the DELETE behind it is waited for only so long. */
    private static final long CLOSED_MICROS = 100_000;
    private static final long AGAIN_MICROS = 50_000;

    private final Reactor reactor;
    private final Timers timers;
    private final Gateway gateway;
    private long connectTimeoutMicros;
    private final KeepAlive keepAlive;
    private final Map<String, Pool> pools = new HashMap<>();
    private Fences fences = Fences.NONE;
    /** Null where nothing paces. */
    private Pacing pacing;
    private int givingUp;

    public ProviderPools(Gateway gateway, Reactor reactor, Timers timers, long connectTimeoutMicros,
            long idleMicros) {
        this.gateway = gateway;
        this.reactor = reactor;
        this.timers = timers;
        this.connectTimeoutMicros = connectTimeoutMicros;
        keepAlive = new KeepAlive((long) (idleMicros * RETIRE));
    }

    /** Jobs go with these claims from now on. */
    public void fences(Fences from) {
        fences = from;
    }

    /** Connections are opened at this pace from now on. */
    public void pacing(Pacing by) {
        pacing = by;
    }

    /** A connection to it is up or on its way. */
    public boolean connected(String providerId) {
        Pool pool = pools.get(providerId);
        return pool != null && pool.connected();
    }

    /** Some provider with a connection has fewer calls of ours than that. */
    public boolean anyConnected(int fewerThan) {
        for (Pool p : pools.values()) {
            if (p.ready && p.users < fewerThan && p.connected()) {
                return true;
            }
        }
        return false;
    }

    /** For how long an idle connection is kept at most. */
    public long keptMicros() {
        return keepAlive.most();
    }

    /** Other times hold from now on. */
    public void settings(long connectMicros, long idleMicros) {
        connectTimeoutMicros = connectMicros;
        keepAlive.most((long) (idleMicros * RETIRE));
    }

    // ---- The list.

    /** Applies a change of the list, before the module hears of it. A whole list drops what it lacks. */
    public void list(boolean whole, List<Target> targets) {
        Set<String> named = new HashSet<>();
        for (Target t : targets) {
            named.add(t.id());
            Pool pool = pools.computeIfAbsent(t.id(), id -> new Pool(id, reactor, timers,
                    () -> connectTimeoutMicros, keepAlive, () -> pacing));
            if (pool.address != null && !pool.address.equals(t.address())) {
                pool.closeIdle();
            }
            pool.address = t.address() == null ? pool.address : t.address(); // One that is gone may have none.
            state(pool, t.ready());
        }
        if (whole) {
            pools.values().stream().filter(p -> !named.contains(p.id)).forEach(p -> state(p, false));
        }
        pools.values().removeIf(p -> !p.ready && p.unused());
    }

    private void state(Pool pool, boolean ready) {
        if (ready != pool.ready) {
            Events.info(LOG, ready ? "provider.ready" : "provider.leaving").addKeyValue("provider", pool.id)
                    .log("provider " + pool.id + (ready ? " ready" : " takes no new work"));
        }
        if (ready) {
            pool.ready = true;
        } else {
            pool.drain();
            pool.closeIdle();
        }
    }

    public long readyCount() {
        return pools.values().stream().filter(p -> p.ready).count();
    }

    // ---- Calls.

    @Override
    public Handle send(InvokerCall call) {
        Pool pool = pools.get(call.providerId());
        if (pool == null || !pool.ready) {
            gateway.ended(call, Outcome.NOT_SENT);
            return new Call(null, call, null);
        }
        Call sent = new Call(pool, call, fences.of(call.jobClass(), call.tenant(), call.providerId()));
        pool.users++;
        pool.send(sent);
        return sent;
    }

    /** No attempt is still being given up on the wire. */
    public boolean quiet() {
        return givingUp == 0;
    }

    private final class Call extends Request implements Handle {
        private final Pool pool;
        private final InvokerCall call;
        private final String fence;
        private boolean accepted;
        private boolean reached;
        private boolean ended;
        private boolean givenUp;

        /** @param fence the claim it goes with, or null */
        Call(Pool pool, InvokerCall call, String fence) {
            super(call.payload().body());
            this.pool = pool;
            this.call = call;
            this.fence = fence;
        }

        @Override
        byte[] head() {
            Payload p = call.payload();
            return MessageWriter.request(p.method(), p.target()).header("Host", pool.host())
                    .header("X-Request-Id", call.id()).header("X-Fence", fence)
                    .header("X-Deadline", Math.max(1, call.untilMicros() - timers.nowMicros()) + "u")
                    .header("Idempotency-Key", p.idempotencyKey())
                    .header("Content-Type", p.contentType()).headFor(p.body());
        }

        @Override
        boolean isNewWork() {
            return true;
        }

        @Override
        boolean isLate(long nowMicros) {
            return nowMicros > call.writtenByMicros() || call.unwanted();
        }

        private void end(Outcome outcome) {
            if (!ended) {
                ended = true;
                pool.users--;
                gateway.ended(call, outcome);
            }
        }

        @Override
        void answered(Message response) {
            boolean neverRan = "1".equals(response.header("x-not-run"));
            switch (response.status()) {
                case 202 -> accepted = true; // Its end comes by a call-back.
                case 503, 504 -> end(neverRan ? Outcome.FULL : Outcome.ERROR);
                default -> {
                    int status = response.status();
                    if (status / 100 == 4 && status != 408 && status != 429) {
                        unusable();
                    } else {
                        end(Outcome.ERROR);
                    }
                }
            }
        }

        private void unusable() {
            if (!ended) {
                ended = true;
                pool.users--;
                gateway.unusable(call);
            }
        }

        @Override
        void broken(Break how) {
            reached = how == Break.AFTER_LAST_BYTE;
            end(switch (how) {
                case NEVER_WRITTEN -> Outcome.UNREACHABLE;
                case DRAINED, TOO_LATE -> Outcome.NOT_SENT;
                case AFTER_LAST_BYTE -> Outcome.RESET;
            });
        }

        @Override
        public boolean written() {
            return accepted || reached || super.written();
        }

        @Override
        public boolean mayReport() {
            return accepted || reached;
        }

        @Override
        public void ended() {
            if (!ended) {
                ended = true;
                pool.users--;
                leave();
            }
        }

        /** The call is over though its request may be under way: its connection is freed by the 202. */
        private void leave() {
            if (!over && link == null) {
                pool.withdraw(this);
            } else if (link != null) {
                timers.at(timers.nowMicros() + ANSWER_MICROS, () -> {
                    if (link != null) {
                        link.abort();
                    }
                });
            }
        }

        @Override
        public void giveUp(Runnable done) {
            if (givenUp || ended) {
                return;
            }
            givenUp = true;
            ended = true;
            boolean begun = accepted;
            if (!over && link == null) {
                pool.withdraw(this);
            } else if (link != null) {
                // Closing may cross with a 202, which would leave the job running: a DELETE follows all the same.
                begun = super.written();
                link.abort();
            }
            if (begun) {
                reached = true;
                GiveUp giveUp = new GiveUp(pool, call, done);
                giveUp.send();
                if (!accepted) {
                    timers.at(timers.nowMicros() + CLOSED_MICROS, giveUp::finish);
                }
            } else {
                pool.users--;
                done.run();
            }
        }
    }

    /**
     * DELETE of one job, again until it is answered or the call's time is over. Guards against two calls out:
     * until it is answered the provider may still run the job, and the module is not told.
     */
    private final class GiveUp {
        private final Pool pool;
        private final InvokerCall call;
        private final Runnable done;
        private boolean told;

        GiveUp(Pool pool, InvokerCall call, Runnable done) {
            this.pool = pool;
            this.call = call;
            this.done = done;
            givingUp++;
        }

        void send() {
            Delete delete = new Delete();
            timers.at(timers.nowMicros() + GIVE_UP_MICROS, () -> delete.expire(pool));
            pool.send(delete);
        }

        private void finish() {
            if (!told) {
                told = true;
                givingUp--;
                pool.users--;
                done.run();
            }
        }

        private void again() {
            if (told || timers.nowMicros() >= call.untilMicros()) {
                finish(); // The consumer has its answer by now and nothing will be sent again.
            } else {
                timers.at(timers.nowMicros() + AGAIN_MICROS, this::send);
            }
        }

        private final class Delete extends Request {
            Delete() {
                super(NONE);
            }

            @Override
            byte[] head() {
                return MessageWriter.request("DELETE", "/jobs/" + call.id()).header("Host", pool.host()).noBody();
            }

            @Override
            boolean isNewWork() {
                return false;
            }

            @Override
            void answered(Message response) {
                finish();
            }

            @Override
            void broken(Break how) {
                again();
            }

            void expire(Pool from) {
                if (!over) {
                    if (link == null) {
                        from.withdraw(this);
                    } else {
                        link.abort();
                    }
                    again();
                }
            }
        }
    }

    // ---- Probes.

    @Override
    public void probe(String providerId) {
        Pool pool = pools.get(providerId);
        if (pool == null || !pool.ready) {
            gateway.probed(providerId, false);
            return;
        }
        Probe probe = new Probe(pool);
        timers.at(timers.nowMicros() + PROBE_MICROS, probe::expire);
        pool.send(probe);
    }

    private final class Probe extends Request {
        private final Pool pool;

        Probe(Pool pool) {
            super(NONE);
            this.pool = pool;
        }

        @Override
        byte[] head() {
            return MessageWriter.request("GET", "/-/healthy").header("Host", pool.host()).noBody();
        }

        @Override
        boolean isNewWork() {
            return true;
        }

        @Override
        void answered(Message response) {
            gateway.probed(pool.id, response.status() == 200);
        }

        @Override
        void broken(Break how) {
            gateway.probed(pool.id, false);
        }

        void expire() {
            if (!over) {
                if (link == null) {
                    pool.withdraw(this);
                } else {
                    link.abort();
                }
                gateway.probed(pool.id, false);
            }
        }
    }
}
