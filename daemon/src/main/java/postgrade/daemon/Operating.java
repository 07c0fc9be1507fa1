package postgrade.daemon;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.dispatch.Timers;
import postgrade.lifecycle.Lifecycle;
import postgrade.log.Events;
import postgrade.operator.Operations;
import postgrade.upgrade.UpgradeCoordinator;
import postgrade.worker.WorkerConnectionPools;

/** Carries out what operators ask for, here and in the other processes of this dispatcher. */
final class Operating implements Operations {

    private static final Logger LOG = LoggerFactory.getLogger(Operating.class);

    private final Timers timers;
    private final Lifecycle lifecycle;
    private final WorkerConnectionPools providers;
    private final Workers workers;
    private final UpgradeCoordinator upgrade;
    private final Runnable check;
    private final BiConsumer<String, Boolean> said;

    /**
     * @param check looks at what the lifecycle asks for from now on
     * @param said hears of each worker that an operator has taken out here, or put back
     */
    Operating(
            Timers timers,
            Lifecycle lifecycle,
            WorkerConnectionPools providers,
            Workers workers,
            UpgradeCoordinator upgrade,
            Runnable check,
            BiConsumer<String, Boolean> said) {
        this.timers = timers;
        this.lifecycle = lifecycle;
        this.providers = providers;
        this.workers = workers;
        this.upgrade = upgrade;
        this.check = check;
        this.said = said;
    }

    @Override
    public void call(Call call, String id, Reply reply) {
        if (call == Call.STATUS) {
            if (lifecycle.servesClients() && providers.readyCount() > 0) {
                reply.succeeded(status());
            } else {
                reply.refused(Refusal.UNAVAILABLE, status());
            }
        } else if (id != null && !workers.roster().knows(id)) {
            reply.refused(Refusal.UNKNOWN, "no worker " + id + " is known here");
        } else {
            boolean done = carryOut(call, id);
            if (id != null) {
                said.accept(id, call == Call.ENTER);
            }
            // The others of this dispatcher have it too before the yes leaves, or will never have a
            // say again.
            upgrade.call(call.name(), id, heard -> answer(call, id, done, reply));
        }
    }

    private static void answer(Call call, String id, boolean done, Reply reply) {
        switch (call) {
            case ENTER -> reply.succeeded("worker " + id + " is out and gets no new work");
            case EXIT ->
                    reply.succeeded(
                            done
                                    ? "worker " + id + " may serve again"
                                    : "worker " + id + " was not out");
            case STANDBY -> reply.succeeded("draining: no longer ready");
            default -> {
                if (done) {
                    reply.succeeded("taking clients");
                } else {
                    reply.refused(
                            Refusal.UNAVAILABLE,
                            "this process is stopping and takes no clients any more");
                }
            }
        }
    }

    /** False if there was nothing to do, or it cannot be done any more. */
    boolean carryOut(Call call, String id) {
        switch (call) {
            case ENTER -> workers.takeOut(timers.nowMicros(), id);
            case EXIT -> {
                return workers.putBack(timers.nowMicros(), id);
            }
            case STANDBY -> standby();
            case ACTIVE -> {
                return active();
            }
            default -> {}
        }
        return true;
    }

    private String status() {
        JsonArray out = Json.array();
        workers.roster().disabledIds().forEach(out::add);
        return Json.object()
                .add("state", lifecycle.state().label())
                .add("workers", providers.readyCount())
                .add("out", out)
                .toString();
    }

    private void standby() {
        if (lifecycle.state() != Lifecycle.State.STANDBY) {
            lifecycle.enterStandby(timers.nowMicros());
            Events.info(LOG, "daemon.standby")
                    .log("standby: no longer ready, turning consumers away");
            check.run();
        }
    }

    private boolean active() {
        if (lifecycle.state() == Lifecycle.State.STANDBY) {
            Events.info(LOG, "daemon.active").log("active: taking consumers again");
        }
        return lifecycle.leaveStandby();
    }
}
