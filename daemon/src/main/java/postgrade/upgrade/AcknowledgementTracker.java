package postgrade.upgrade;

import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Messages to peers that have not been acknowledged yet. */
final class AcknowledgementTracker {

    /** A message that is not acknowledged within this time counts as not received. */
    static final long ACK_TIMEOUT_MICROS = 400_000;

    private final UpgradeCoordinator coordinator;
    private final Map<Long, Consumer<Boolean>> pending = new HashMap<>();
    private long lastNumber;

    AcknowledgementTracker(UpgradeCoordinator coordinator) {
        this.coordinator = coordinator;
    }

    /**
     * Sends a message to all peers and awaits those that serve. The callback gets true once all of
     * them have acknowledged, false if one did not in time.
     */
    void sendToAll(JsonObject message, Consumer<Boolean> done) {
        int[] outstanding = {0};
        boolean[] allAcknowledged = {true};
        for (PeerLink peer : new ArrayList<>(coordinator.peers)) {
            if (!peer.serving) {
                // A peer that does not serve yet reads the message before it does; not awaited.
                peer.send(new JsonObject(message).add("ask", 0));
                continue;
            }
            outstanding[0]++;
            long number = ++lastNumber;
            pending.put(
                    number,
                    acknowledged -> {
                        allAcknowledged[0] &= acknowledged;
                        if (--outstanding[0] == 0) {
                            done.accept(allAcknowledged[0]);
                        }
                    });
            peer.pendingAcknowledgements.add(number);
            coordinator.timers.at(
                    coordinator.timers.nowMicros() + ACK_TIMEOUT_MICROS,
                    () -> complete(peer, number, false));
            peer.send(new JsonObject(message).add("ask", number));
        }
        if (outstanding[0] == 0) {
            done.accept(true);
        }
    }

    void complete(PeerLink peer, long number, boolean acknowledged) {
        peer.pendingAcknowledgements.remove(number);
        Consumer<Boolean> callback = pending.remove(number);
        if (callback != null) {
            callback.accept(acknowledged);
        }
    }
}
