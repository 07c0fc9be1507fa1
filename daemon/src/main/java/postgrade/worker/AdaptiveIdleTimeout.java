package postgrade.worker;

/**
 * How long a connection to a provider may stand idle and still be trusted with a request. The
 * settings say when providers close idle connections, but what lies between may forget them sooner
 * and without a word; the next request on such a connection ends as a reset, and one that must not
 * run twice is lost with it. So each break of a connection that had been idle shortens the time,
 * and a while without any lengthens it again.
 */
final class AdaptiveIdleTimeout {
    /**
     * Sooner breaks are no sign of idleness, and to keep no connection at all would cost a
     * handshake a request.
     */
    private static final long MIN_MICROS = 50_000;

    private static final long RECOVERY_MICROS = 30_000_000;

    private long maxMicros;
    private long limitMicros;
    private long limitChangedMicros;

    AdaptiveIdleTimeout(long maxMicros) {
        this.maxMicros = maxMicros;
        limitMicros = maxMicros;
    }

    /**
     * Another time after which providers close.
     *
     * @param learntHolds the network is the same one, and so is what was learnt of shorter times
     */
    void setMax(long micros, boolean keepLearnt) {
        limitMicros =
                keepLearnt && limitMicros < maxMicros ? Math.min(limitMicros, micros) : micros;
        maxMicros = micros;
    }

    long max() {
        return maxMicros;
    }

    long limitMicros(long nowMicros) {
        if (limitMicros < maxMicros && nowMicros - limitChangedMicros >= RECOVERY_MICROS) {
            limitMicros = Math.min(maxMicros, 2 * limitMicros);
            limitChangedMicros = nowMicros;
        }
        return limitMicros;
    }

    /** A connection has broken under the first request after it was idle for so long. */
    void recordBreak(long nowMicros, long idleMicros) {
        if (idleMicros >= MIN_MICROS) {
            limitMicros = Math.max(MIN_MICROS, Math.min(limitMicros, idleMicros / 2));
            limitChangedMicros = nowMicros;
        }
    }
}
