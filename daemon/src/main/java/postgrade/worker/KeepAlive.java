package postgrade.worker;

/**
 * How long a connection to a provider may stand idle and still be trusted with a request. The
 * settings say when providers close idle connections, but what lies between may forget them sooner
 * and without a word; the next request on such a connection ends as a reset, and one that must not
 * run twice is lost with it. So each break of a connection that had been idle shortens the time,
 * and a while without any lengthens it again.
 */
final class KeepAlive {
    /**
     * Sooner breaks are no sign of idleness, and to keep no connection at all would cost a
     * handshake a request.
     */
    private static final long LEAST_MICROS = 50_000;

    private static final long QUIET_MICROS = 30_000_000;

    private long mostMicros;
    private long limitMicros;
    private long changedMicros;

    KeepAlive(long mostMicros) {
        this.mostMicros = mostMicros;
        limitMicros = mostMicros;
    }

    /**
     * Another time after which providers close.
     *
     * @param learntHolds the network is the same one, and so is what was learnt of shorter times
     */
    void most(long micros, boolean learntHolds) {
        limitMicros =
                learntHolds && limitMicros < mostMicros ? Math.min(limitMicros, micros) : micros;
        mostMicros = micros;
    }

    long most() {
        return mostMicros;
    }

    long limitMicros(long nowMicros) {
        if (limitMicros < mostMicros && nowMicros - changedMicros >= QUIET_MICROS) {
            limitMicros = Math.min(mostMicros, 2 * limitMicros);
            changedMicros = nowMicros;
        }
        return limitMicros;
    }

    /** A connection has broken under the first request after it was idle for so long. */
    void broke(long nowMicros, long idleMicros) {
        if (idleMicros >= LEAST_MICROS) {
            limitMicros = Math.max(LEAST_MICROS, Math.min(limitMicros, idleMicros / 2));
            changedMicros = nowMicros;
        }
    }
}
