package postgrade.daemon;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.Decide;
import postgrade.Dispatcher;
import postgrade.Dispatcher.Actions;
import postgrade.Dispatcher.ListForm;
import postgrade.Dispatcher.Phase;
import postgrade.Dispatcher.Tenant;
import postgrade.Dispatcher.Worker;
import postgrade.consumer.Listener;
import postgrade.discovery.TargetList;
import postgrade.discovery.TargetList.Entry;
import postgrade.discovery.TargetList.State;
import postgrade.discovery.Watch;
import postgrade.gateway.Gateway;
import postgrade.http.SocketBudget;
import postgrade.log.Events;
import postgrade.provider.ProviderPools;
import postgrade.provider.Target;

/** One dispatcher: puts the parts together, passes the list on, and stops in order. */
final class Daemon {

    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
    private static final long NANOS = 1_000;
    /** What comes up to so long after SIGTERM may be left to SIGKILL; what comes later may not. */
    private static final long TAKEN_MICROS = 700_000;
    /** SIGKILL follows the longest deadline, or this if that is longer, and {@link #TAKEN_MICROS} at the earliest. */
    private static final long MOST_GRACE_MICROS = 3_000_000;
    /** So long before SIGKILL consumers are turned away, and then answered whatever their jobs have come to. */
    private static final long LEAVE_MICROS = 1_400_000;
    private static final long CONCLUDE_MICROS = 300_000;
    static final long STOP_CHECK_MICROS = 20_000;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final Config config;
    private final Loop loop;
    private final Gateway gateway;
    private final ProviderPools providers;
    private final Listener listener;
    private final Watch watch;
    private final Thread thread;
    private long stopFromMicros;

    Daemon(Config config) throws IOException {
        this(config, actions -> new Decide(config.settings, config.seed, actions), Watch.SILENT_MICROS);
    }

    /** With another module in the place of ours, and another patience with discovery. */
    Daemon(Config config, Function<Actions, Dispatcher> module, long silentMicros) throws IOException {
        this.config = config;
        loop = new Loop(new SocketBudget(config.sockets));
        gateway = new Gateway(module, config.settings.mayDuplicate, config.mostHeld, loop,
                (event, message, thrown) -> Events.error(LOG, event).setCause(thrown).log(message));
        providers = new ProviderPools(gateway, loop, loop, config.connectTimeoutMicros, config.idleMicros);
        gateway.connect(providers);
        if (config.known != null) {
            list(ListForm.STORED, config.known);
        }
        Set<String> tenants = config.settings.tenants.stream().map(Tenant::name).collect(Collectors.toSet());
        listener = new Listener(config.listen, config.deadlineMicros, tenants, () -> providers.readyCount() > 0,
                gateway, loop, loop);
        long version = config.known == null ? 0 : config.known.version();
        watch = new Watch(config.discovery, config.name, version, silentMicros, loop, loop,
                list -> list(list.whole() ? ListForm.FULL : ListForm.CHANGES, list));
        thread = new Thread(null, this::run, "loop");
        Events.info(LOG, "daemon.listening").addKeyValue("name", config.name).addKeyValue("address", config.listen)
                .addKeyValue("providers", providers.readyCount())
                .log(config.name + " listens on " + config.listen + ", " + providers.readyCount()
                        + " providers known from before");
    }

    int port() throws IOException {
        return listener.port();
    }

    void start() {
        thread.start();
    }

    private void run() {
        try {
            watch.open();
            loop.run(new Loop.Turn() {
                @Override
                public void take() {
                    gateway.turn();
                }

                @Override
                public boolean pending() {
                    return gateway.pending();
                }
            });
        } catch (IOException | RuntimeException | Error e) {
            // Guards against a process that lives on without its loop: what restarts us must see it die.
            Events.error(LOG, "loop.ended").setCause(e).log("the loop ended");
            Runtime.getRuntime().halt(1);
        }
    }

    private void list(ListForm form, TargetList list) {
        list.warnOfFaulty();
        List<Target> targets = new ArrayList<>();
        List<Worker> workers = new ArrayList<>();
        for (Entry e : list.entries()) {
            targets.add(new Target(e.id(), e.address(), e.state() == State.READY));
            Phase phase = switch (e.state()) {
                case READY -> Phase.READY;
                case DRAINING -> Phase.DRAINING;
                case GONE -> Phase.GONE;
            };
            long born = e.startedMillis() == 0 ? 0 : loop.fromUnixMillis(e.startedMillis());
            workers.add(new Worker(e.id(), e.zone(), e.kind(), e.cell(), phase, e.weight(), born * NANOS));
        }
        providers.list(form != ListForm.CHANGES, targets);
        gateway.list(form, workers);
    }

    /**
     * Reads the configuration again and takes over what can change under way. A faulty one changes nothing. May be
     * called from any thread.
     */
    void reload() {
        loop.ask(() -> {
            try {
                Config next = config.readAgain();
                String later = String.join(", ", config.keysForNextStart(next));
                Events.info(LOG, "configuration.read-again").addKeyValue("later", later).log("configuration read again"
                        + (later.isEmpty() ? "" : "; only at the next start: " + later));
                watch.move(next.discovery);
            } catch (Config.Faulty e) {
                Events.warn(LOG, "configuration.not-taken").addKeyValue("why", e.getMessage())
                        .log("configuration not taken over, the former one stays: " + e.getMessage());
            }
        });
    }

    /** Stops in order and returns when all that was taken is answered. May be called from any thread. */
    void stop() {
        loop.ask(() -> {
            Events.info(LOG, "daemon.stopping").log("stopping: no longer ready, serving on");
            stopFromMicros = loop.nowMicros();
            listener.beginStop();
            // Guards the consumers who hold a connection: while it is open they go on using it, and until SIGKILL
            // is near they are served as well here as anywhere. All of us may be restarting in turn.
            loop.at(killMicros() - LEAVE_MICROS, this::finish);
        });
        try {
            // Guards against an exit in mid-answer: the virtual machine ends once its shutdown hooks have returned.
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long killMicros() {
        long longest = config.deadlineMicros.values().stream().mapToLong(d -> d).max().orElse(MOST_GRACE_MICROS);
        return stopFromMicros + Math.min(longest, MOST_GRACE_MICROS) + TAKEN_MICROS;
    }

    private void finish() {
        listener.leave();
        if (loop.nowMicros() >= killMicros() - CONCLUDE_MICROS) {
            // Guards the one answer: what SIGKILL finds unanswered of these is lost.
            gateway.concludeSince(stopFromMicros + TAKEN_MICROS);
        }
        if (gateway.idle() && providers.quiet() && listener.quiet()) {
            long millis = (loop.nowMicros() - stopFromMicros) / (MICROS_PER_SECOND / 1000);
            Events.info(LOG, "daemon.stopped").addKeyValue("ms", millis)
                    .log("stopped after " + millis + " ms, all answered");
            loop.stop();
        } else {
            loop.at(loop.nowMicros() + STOP_CHECK_MICROS, this::finish);
        }
    }
}
