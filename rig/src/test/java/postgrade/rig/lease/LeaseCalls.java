package postgrade.rig.lease;

import com.eclipsesource.json.JsonObject;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import postgrade.rig.history.History;

/**
 * Sends calls of holders and records them. Each call is repeated under its id, alternating between
 * the observers, until it is decided.
 */
final class LeaseCalls {

    private static final long ANSWER_TIMEOUT_MILLIS = 400;
    private static final long DECISION_TIMEOUT_MICROS = 60_000_000;

    /**
     * A decided call.
     *
     * @param sent when it was first sent, by the machine's monotonic clock, in microseconds
     * @param ended when its answer arrived, by the same clock
     */
    record Call(
            String holder,
            long incarnation,
            String verb,
            long ttlMicros,
            int accelerators,
            long sent,
            long ended,
            String status,
            String state,
            long fence,
            long mask) {
        boolean done() {
            return status.equals("DONE");
        }

        boolean granted() {
            return done() && fence > 0 && !verb.equals("release");
        }

        JsonObject fields() {
            return new JsonObject()
                    .add("holder", holder)
                    .add("incarnation", incarnation)
                    .add("verb", verb)
                    .add("ttl", ttlMicros)
                    .add("accelerators", accelerators)
                    .add("sent", sent)
                    .add("ended", ended)
                    .add("status", status)
                    .add("state", state)
                    .add("fence", fence)
                    .add("mask", mask);
        }

        static Call of(History.Event e) {
            return new Call(
                    e.text("holder"),
                    e.number("incarnation"),
                    e.text("verb"),
                    e.number("ttl"),
                    (int) e.number("accelerators"),
                    e.number("sent"),
                    e.number("ended"),
                    e.text("status"),
                    e.text("state"),
                    e.number("fence"),
                    e.number("mask"));
        }
    }

    private final LeaseCluster cluster;
    final List<Call> calls = Collections.synchronizedList(new ArrayList<>());

    LeaseCalls(LeaseCluster cluster) {
        this.cluster = cluster;
    }

    static long monotonicMicros() {
        return System.nanoTime() / 1000;
    }

    /**
     * Sends a call until it is decided.
     *
     * @throws IllegalStateException if it is not decided within a minute
     */
    Call call(
            String holder,
            long incarnation,
            long ttlMillis,
            int accelerators,
            String verb,
            String arguments)
            throws InterruptedException {
        String id = cluster.freshId();
        String command =
                verb + " holder=" + holder + " site=z incarnation=" + incarnation + " " + arguments;
        long sent = monotonicMicros();
        int observer = ThreadLocalRandom.current().nextInt(2);
        while (monotonicMicros() - sent < DECISION_TIMEOUT_MICROS) {
            int from = cluster.history.size();
            cluster.send(
                    LeaseCluster.OBSERVERS.get(observer++ % 2), id, ANSWER_TIMEOUT_MILLIS, command);
            try {
                History.Event reply =
                        cluster.history.await(
                                "answer to " + id,
                                from,
                                ANSWER_TIMEOUT_MILLIS + 100,
                                r -> r.kind().equals("reply") && r.text("id").equals(id));
                if (reply.fields().getBoolean("decided", false)) {
                    Call done =
                            new Call(
                                    holder,
                                    incarnation,
                                    verb,
                                    ttlMillis * 1000,
                                    accelerators,
                                    sent,
                                    monotonicMicros(),
                                    reply.text("status"),
                                    reply.text("state").isEmpty()
                                            ? reply.text("text")
                                            : reply.text("state"),
                                    parseFence(reply.text("fence")),
                                    parseMask(reply.text("allotment")));
                    calls.add(done);
                    cluster.history.add("rig", "call", done.fields());
                    return done;
                }
                Thread.sleep(20);
            } catch (IllegalStateException reply) {
                // Not answered in time: retried through the other observer.
            }
        }
        throw new IllegalStateException(
                command + " was not decided within " + DECISION_TIMEOUT_MICROS / 1_000_000 + " s");
    }

    private static long parseFence(String text) {
        return text.isEmpty() ? 0 : Long.parseLong(text);
    }

    private static long parseMask(String allotment) {
        return allotment.startsWith(LeaseNode.WORKER + "=")
                ? Long.parseLong(allotment.substring(2), 16)
                : 0;
    }
}
