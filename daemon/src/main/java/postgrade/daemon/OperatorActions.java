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

/** Carries out operator calls, in this process and in the other processes of this dispatcher. */
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
     * Creates the operations of this process.
     *
     * @param shutdownCheck schedules a check of what the lifecycle requires
     * @param overrideListener notified of each worker that an operator has disabled or enabled here
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
            // Replies once the other processes of this dispatcher have acknowledged the call or can
            // no longer affect its outcome.
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

    /** Returns false if there was nothing to do or the action is no longer possible. */
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
            Events.info(LOG, "daemon.standby").log("standby: no longer ready, rejecting clients");
            shutdownCheck.run();
        }
    }

    private boolean leaveStandby() {
        if (lifecycle.state() == Lifecycle.State.STANDBY) {
            Events.info(LOG, "daemon.active").log("active: accepting clients again");
        }
        return lifecycle.leaveStandby();
    }
}
