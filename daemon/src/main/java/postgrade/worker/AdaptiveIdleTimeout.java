package postgrade.worker;

/**
 * How long a connection to a worker may stay idle and still be given a request. The settings say
 * when workers close idle connections, but a middlebox in between may drop them earlier without
 * notice; the next request on such a connection ends in a reset, and a request that must not run
 * twice is then lost. So each break of a connection that was idle shortens the limit, and a period
 * without breaks lengthens it again.
 */
final class AdaptiveIdleTimeout {
    /**
     * Connections that break after a shorter idle time do not point to an idle time-out, and
     * keeping no connection at all would cost a handshake per request.
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
     * Sets another time after which workers close idle connections.
     *
     * @param keepLearnt whether the network is the same, so that a shorter learnt limit still holds
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

    /** A connection broke under the first request after it had been idle for this long. */
    void recordBreak(long nowMicros, long idleMicros) {
        if (idleMicros >= MIN_MICROS) {
            limitMicros = Math.max(MIN_MICROS, Math.min(limitMicros, idleMicros / 2));
            limitChangedMicros = nowMicros;
        }
    }
}
