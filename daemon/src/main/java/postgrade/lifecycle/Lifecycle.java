package postgrade.lifecycle;

import java.util.OptionalLong;

/**
 * The lifecycle of a dispatcher from start to exit. The one place that decides, for a given time,
 * whether it is ready, whether it accepts connections, and when connections are closed and jobs
 * answered early. It only decides; its callers act.
 *
 * <p>Standby and stopping each have a schedule for these decisions. A dispatcher in standby may be
 * stopped, and then both schedules apply.
 */
public final class Lifecycle {

    /** The states of the dispatcher. */
    public enum State {
        STARTING,
        ACTIVE,
        STANDBY,
        STOPPING,
        HANDING_OVER,
        /**
         * Everything accepted has been answered; what remains are connections that their peers have
         * to close.
         */
        CLOSING;

        public String label() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
        }
    }

    private static final long NEVER = Long.MAX_VALUE;

    /**
     * The load balancer polls readiness every 0.1 s and sends new connections for another 0.2 s.
     */
    private static final long READINESS_PROPAGATION_MICROS = 350_000;

    /**
     * From this time after standby on, idle connections are closed, so that all are closed or
     * closing well before 4 s have passed.
     */
    private static final long STANDBY_CLOSE_IDLE_MICROS = 500_000;

    /** 4 s after the standby call, no job of the last 2 s may be pending. */
    private static final long STANDBY_CUTOFF_MICROS = 1_900_000;

    private static final long STANDBY_FORCE_ANSWER_MICROS = 3_400_000;

    /**
     * Jobs that arrive up to this long after SIGTERM may be lost to SIGKILL; later ones may not.
     */
    private static final long STOP_CUTOFF_MICROS = 700_000;

    /**
     * SIGKILL follows SIGTERM after the longest deadline, limited to this value, plus {@link
     * #STOP_CUTOFF_MICROS}.
     */
    private static final long MAX_GRACE_MICROS = 3_000_000;

    /**
     * This long before SIGKILL connections of clients are closed, and {@link
     * #KILL_FORCE_ANSWER_MICROS} before it pending jobs are answered with whatever state they have
     * reached.
     */
    private static final long KILL_CLOSE_IDLE_MICROS = 1_400_000;

    private static final long KILL_FORCE_ANSWER_MICROS = 300_000;

    /** New connections arrive for up to 0.4 s after SIGTERM, even if all deadlines are short. */
    private static final long STOP_CONNECTIONS_ARRIVE_MICROS = 500_000;

    /**
     * From this long before SIGKILL on, the process no longer waits for peers to close their
     * connections.
     */
    private static final long KILL_EXIT_MICROS = 50_000;

    /**
     * A successor accepts clients at once; most connections close with their next answer before
     * they would be idle.
     */
    private static final long HAND_OVER_CLOSE_IDLE_MICROS = 1_000_000;

    private boolean started;
    private boolean hasSuccessor;
    private boolean closing;
    private long standbyMicros = NEVER;
    private long stopMicros = NEVER;
    private long killMicros = NEVER;

    public State state() {
        return closing
                ? State.CLOSING
                : stopMicros != NEVER
                        ? hasSuccessor ? State.HANDING_OVER : State.STOPPING
                        : standbyMicros != NEVER
                                ? State.STANDBY
                                : started ? State.ACTIVE : State.STARTING;
    }

    /** Starts serving clients; until then they wait in the backlog. */
    public void markStarted() {
        started = true;
    }

    public boolean hasStarted() {
        return started;
    }

    /**
     * Enters standby, which drains the dispatcher. Further calls change nothing: the load balancer
     * has been notified by the first one.
     */
    public void enterStandby(long nowMicros) {
        standbyMicros = Math.min(standbyMicros, nowMicros);
    }

    /** Serves clients again. Returns false if the process is stopping, which cannot be undone. */
    public boolean leaveStandby() {
        if (stopMicros != NEVER) {
            return false;
        }
        standbyMicros = NEVER;
        return true;
    }

    /**
     * Starts to stop the process.
     *
     * @param longestDeadlineMicros the longest deadline of the classes in force
     * @param successorPresent whether another process of this dispatcher takes over the clients
     */
    public void stop(long nowMicros, long longestDeadlineMicros, boolean successorPresent) {
        if (stopMicros == NEVER) {
            stopMicros = nowMicros;
            hasSuccessor = successorPresent;
            killMicros =
                    nowMicros
                            + Math.min(longestDeadlineMicros, MAX_GRACE_MICROS)
                            + STOP_CUTOFF_MICROS;
        }
    }

    /**
     * Notes that a successor has started, or that it has died; in that case this process serves the
     * clients again until it exits.
     */
    public void setSuccessor(boolean present) {
        hasSuccessor = present;
    }

    /** Closes the last connections; nothing more is accepted. This cannot be undone. */
    public void beginClosing() {
        closing = true;
    }

    /**
     * Returns whether the load balancer may send clients. In an upgrade both processes count as one
     * dispatcher, which is ready as the successor is.
     */
    public boolean isReady() {
        return state() == State.ACTIVE || state() == State.HANDING_OVER && standbyMicros == NEVER;
    }

    /** Returns whether this process itself, and not only its successor, serves clients. */
    public boolean servesClients() {
        return state() == State.ACTIVE;
    }

    /** Returns how long it has been in standby, or a negative value if it is not. */
    public long standbyAgeMicros(long nowMicros) {
        return standbyMicros == NEVER ? -1 : nowMicros - standbyMicros;
    }

    /**
     * Returns whether new connections are accepted. That includes the workers' call-backs at all
     * times, except when a successor accepts them.
     */
    public boolean acceptsConnections() {
        return state() != State.HANDING_OVER && state() != State.CLOSING;
    }

    /** Returns whether an answer to a client closes its connection. */
    public boolean closesAfterAnswer(long nowMicros) {
        return state() == State.HANDING_OVER
                || hasPassed(standbyMicros, READINESS_PROPAGATION_MICROS, nowMicros)
                || closesIdleConnections(nowMicros);
    }

    /** Returns whether idle connections of clients are closed. */
    public boolean closesIdleConnections(long nowMicros) {
        return hasPassed(standbyMicros, STANDBY_CLOSE_IDLE_MICROS, nowMicros)
                || hasPassed(killMicros, -KILL_CLOSE_IDLE_MICROS, nowMicros)
                        && hasPassed(stopMicros, STOP_CONNECTIONS_ARRIVE_MICROS, nowMicros)
                || state() == State.HANDING_OVER
                        && hasPassed(stopMicros, HAND_OVER_CLOSE_IDLE_MICROS, nowMicros);
    }

    /**
     * Returns the arrival time from which on jobs are answered now, whatever state they have
     * reached; empty if there is none.
     */
    public OptionalLong forcedAnswerCutoff(long nowMicros) {
        long since = NEVER;
        if (hasPassed(standbyMicros, STANDBY_FORCE_ANSWER_MICROS, nowMicros)) {
            since = standbyMicros + STANDBY_CUTOFF_MICROS;
        }
        if (hasPassed(killMicros, -KILL_FORCE_ANSWER_MICROS, nowMicros)) {
            since = Math.min(since, stopMicros + STOP_CUTOFF_MICROS);
        }
        return since == NEVER ? OptionalLong.empty() : OptionalLong.of(since);
    }

    /**
     * Returns whether the process may exit once everything is answered. Before that, clients go on
     * using the connections they hold.
     */
    public boolean mayExit(long nowMicros) {
        return stopMicros != NEVER && closesIdleConnections(nowMicros);
    }

    /** Returns whether SIGKILL is so close that open connections are no longer waited for. */
    public boolean mustExit(long nowMicros) {
        return hasPassed(killMicros, -KILL_EXIT_MICROS, nowMicros);
    }

    public long stoppingForMicros(long nowMicros) {
        return stopMicros == NEVER ? 0 : nowMicros - stopMicros;
    }

    private static boolean hasPassed(long fromMicros, long offsetMicros, long nowMicros) {
        return fromMicros != NEVER && nowMicros - fromMicros >= offsetMicros;
    }
}
