package postgrade.lifecycle;

import java.util.OptionalLong;

/**
 * Where a dispatcher stands between start and end, and what follows from it at a given time. The
 * one place that decides whether it is ready, whether it accepts, and when connections and jobs
 * come to their end. It does nothing itself.
 *
 * <p>Standby and stopping are two timetables for the same questions; a dispatcher in standby may be
 * told to stop, and then both bind.
 */
public final class Lifecycle {

    /** What the dispatcher is about. */
    public enum State {
        STARTING,
        ACTIVE,
        STANDBY,
        STOPPING,
        HANDING_OVER,
        /**
         * All that was taken is answered; what is left are connections that their peers have to
         * end.
         */
        CLOSING;

        public String label() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
        }
    }

    private static final long NEVER = Long.MAX_VALUE;

    /** The front asks for readiness every 0.1 s and sends new connections for 0.2 s more. */
    private static final long FRONT_KNOWS_MICROS = 350_000;

    /**
     * From then on nobody's connection is kept idle: all are gone, or closing, well before 4 s have
     * passed.
     */
    private static final long STANDBY_LEAVE_MICROS = 500_000;

    /** 4 s after the call no job of the last 2 s may be held. */
    private static final long STANDBY_LATE_MICROS = 1_900_000;

    private static final long STANDBY_CONCLUDE_MICROS = 3_400_000;

    /** What comes up to so long after SIGTERM may be left to SIGKILL; what comes later may not. */
    private static final long TAKEN_MICROS = 700_000;

    /**
     * SIGKILL follows the longest deadline, or this if that is longer, and {@link #TAKEN_MICROS} at
     * the earliest.
     */
    private static final long MOST_GRACE_MICROS = 3_000_000;

    /**
     * So long before SIGKILL consumers are turned away, and then answered whatever their jobs have
     * come to.
     */
    private static final long LEAVE_MICROS = 1_400_000;

    private static final long CONCLUDE_MICROS = 300_000;

    /** New connections come for up to 0.4 s after SIGTERM, however short the deadlines. */
    private static final long STILL_SENT_MICROS = 500_000;

    /** Peers that have not ended their connections by then are not waited for. */
    private static final long END_MICROS = 50_000;

    /**
     * A successor takes the consumers at once; most connections end with their next answer before
     * they would idle.
     */
    private static final long HAND_OVER_LEAVE_MICROS = 1_000_000;

    private boolean started;
    private boolean successor;
    private boolean closing;
    private long standbyMicros = NEVER;
    private long stopMicros = NEVER;
    private long killMicros = NEVER;

    public State state() {
        return closing
                ? State.CLOSING
                : stopMicros != NEVER
                        ? successor ? State.HANDING_OVER : State.STOPPING
                        : standbyMicros != NEVER
                                ? State.STANDBY
                                : started ? State.ACTIVE : State.STARTING;
    }

    /** It takes consumers from now on; until then they wait in the backlog. */
    public void markStarted() {
        started = true;
    }

    public boolean hasStarted() {
        return started;
    }

    /** Drain. Called again it changes nothing: the front has been told by the first call. */
    public void enterStandby(long nowMicros) {
        standbyMicros = Math.min(standbyMicros, nowMicros);
    }

    /** Takes consumers again. False where it is to end, which no call undoes. */
    public boolean leaveStandby() {
        if (stopMicros != NEVER) {
            return false;
        }
        standbyMicros = NEVER;
        return true;
    }

    /**
     * The process is to end.
     *
     * @param longestDeadlineMicros of the classes in force
     * @param hasSuccessor another process of this dispatcher takes the consumers
     */
    public void stop(long nowMicros, long longestDeadlineMicros, boolean hasSuccessor) {
        if (stopMicros == NEVER) {
            stopMicros = nowMicros;
            successor = hasSuccessor;
            killMicros =
                    nowMicros + Math.min(longestDeadlineMicros, MOST_GRACE_MICROS) + TAKEN_MICROS;
        }
    }

    /**
     * A successor has come; or it has died, and what it was to take is ours again for as long as we
     * may live.
     */
    public void setSuccessor(boolean isThere) {
        successor = isThere;
    }

    /** Nothing more is taken: the last connections end. There is no way back. */
    public void beginClosing() {
        closing = true;
    }

    /**
     * The front may send consumers. In an upgrade the pair is one dispatcher, ready as its
     * successor is.
     */
    public boolean isReady() {
        return state() == State.ACTIVE || state() == State.HANDING_OVER && standbyMicros == NEVER;
    }

    /** This process, not the pair, takes clients. */
    public boolean servesClients() {
        return state() == State.ACTIVE;
    }

    /** How long it has been in standby, negative if it is not. */
    public long standbyAgeMicros(long nowMicros) {
        return standbyMicros == NEVER ? -1 : nowMicros - standbyMicros;
    }

    /**
     * New connections are accepted: the consumers', and always the providers' call-backs, but for a
     * successor's.
     */
    public boolean acceptsConnections() {
        return state() != State.HANDING_OVER && state() != State.CLOSING;
    }

    /** An answer to a consumer ends its connection. */
    public boolean closesAfterAnswer(long nowMicros) {
        return state() == State.HANDING_OVER
                || past(standbyMicros, FRONT_KNOWS_MICROS, nowMicros)
                || closesIdleConnections(nowMicros);
    }

    /** Consumers' connections that await nothing are closed. */
    public boolean closesIdleConnections(long nowMicros) {
        return past(standbyMicros, STANDBY_LEAVE_MICROS, nowMicros)
                || past(killMicros, -LEAVE_MICROS, nowMicros)
                        && past(stopMicros, STILL_SENT_MICROS, nowMicros)
                || state() == State.HANDING_OVER
                        && past(stopMicros, HAND_OVER_LEAVE_MICROS, nowMicros);
    }

    /** Jobs that came since then are answered now as they stand; none if empty. */
    public OptionalLong forcedAnswerCutoff(long nowMicros) {
        long since = NEVER;
        if (past(standbyMicros, STANDBY_CONCLUDE_MICROS, nowMicros)) {
            since = standbyMicros + STANDBY_LATE_MICROS;
        }
        if (past(killMicros, -CONCLUDE_MICROS, nowMicros)) {
            since = Math.min(since, stopMicros + TAKEN_MICROS);
        }
        return since == NEVER ? OptionalLong.empty() : OptionalLong.of(since);
    }

    /**
     * The process may end once all is answered; not before, as consumers use what connections they
     * hold.
     */
    public boolean mayExit(long nowMicros) {
        return stopMicros != NEVER && closesIdleConnections(nowMicros);
    }

    /** SIGKILL is so near that who has not ended its connection is waited for no longer. */
    public boolean mustExit(long nowMicros) {
        return past(killMicros, -END_MICROS, nowMicros);
    }

    public long stoppingForMicros(long nowMicros) {
        return stopMicros == NEVER ? 0 : nowMicros - stopMicros;
    }

    private static boolean past(long fromMicros, long byMicros, long nowMicros) {
        return fromMicros != NEVER && nowMicros - fromMicros >= byMicros;
    }
}
