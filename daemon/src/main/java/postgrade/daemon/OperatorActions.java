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
final class OperatorActions implements Operations {

    private static final Logger LOG = LoggerFactory.getLogger(OperatorActions.class);

    private final Timers timers;
    private final Lifecycle lifecycle;
    private final WorkerConnectionPools workerPools;
    private final WorkerDirectory workers;
    private final UpgradeCoordinator upgrade;
    private final Runnable shutdownCheck;
    private final BiConsumer<String, Boolean> overrideListener;

    /**
     * @param check looks at what the lifecycle asks for from now on
     * @param said hears of each worker that an operator has taken out here, or put back
     */
    OperatorActions(
            Timers timers,
            Lifecycle lifecycle,
            WorkerConnectionPools workerPools,
            WorkerDirectory workers,
            UpgradeCoordinator upgrade,
            Runnable shutdownCheck,
            BiConsumer<String, Boolean> overrideListener) {
        this.timers = timers;
        this.lifecycle = lifecycle;
        this.workerPools = workerPools;
        this.workers = workers;
        this.upgrade = upgrade;
        this.shutdownCheck = shutdownCheck;
        this.overrideListener = overrideListener;
    }

    @Override
    public void call(Call call, String id, Reply reply) {
        if (call == Call.STATUS) {
            if (lifecycle.servesClients() && workerPools.readyCount() > 0) {
                reply.succeeded(status());
            } else {
                reply.refused(Refusal.UNAVAILABLE, status());
            }
        } else if (id != null && !workers.registry().knows(id)) {
            reply.refused(Refusal.UNKNOWN, "no worker " + id + " is known here");
        } else {
            boolean done = execute(call, id);
            if (id != null) {
                overrideListener.accept(id, call == Call.ENTER);
            }
            // The others of this dispatcher have it too before the yes leaves, or will never have a
            // say again.
            upgrade.relayOperatorCall(
                    call.name(), id, allAcknowledged -> reply(call, id, done, reply));
        }
    }

    private static void reply(Call call, String id, boolean done, Reply reply) {
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
    boolean execute(Call call, String id) {
        switch (call) {
            case ENTER -> workers.enterMaintenance(timers.nowMicros(), id);
            case EXIT -> {
                return workers.exitMaintenance(timers.nowMicros(), id);
            }
            case STANDBY -> enterStandby();
            case ACTIVE -> {
                return leaveStandby();
            }
            default -> {}
        }
        return true;
    }

    private String status() {
        JsonArray disabled = Json.array();
        workers.registry().disabledIds().forEach(disabled::add);
        return Json.object()
                .add("state", lifecycle.state().label())
                .add("workers", workerPools.readyCount())
                .add("out", disabled)
                .toString();
    }

    private void enterStandby() {
        if (lifecycle.state() != Lifecycle.State.STANDBY) {
            lifecycle.enterStandby(timers.nowMicros());
            Events.info(LOG, "daemon.standby")
                    .log("standby: no longer ready, turning consumers away");
            shutdownCheck.run();
        }
    }

    private boolean leaveStandby() {
        if (lifecycle.state() == Lifecycle.State.STANDBY) {
            Events.info(LOG, "daemon.active").log("active: taking consumers again");
        }
        return lifecycle.leaveStandby();
    }
}
