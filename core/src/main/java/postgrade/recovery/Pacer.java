package postgrade.recovery;

/**
 * A token bucket of size one that spaces permits evenly. Two pacers of the same rate with different
 * phases never issue a permit at the same moment, so the actions of many processes are spread out
 * without any coordination.
 */
public final class Pacer {

    private double tokensPerMicro;
    private double tokens;
    private long atMicros;

    /**
     * @param perSecond maximum rate
     * @param phase fraction of the interval, from 0 to below 1, that passes before the first permit
     */
    public Pacer(long nowMicros, double perSecond, double phase) {
        if (!(perSecond >= 0) || !(phase >= 0) || phase >= 1) {
            throw new IllegalArgumentException(
                    "perSecond must not be negative and phase must be in [0, 1)");
        }
        tokensPerMicro = perSecond / 1e6;
        tokens = 1 - phase;
        atMicros = nowMicros;
    }

    /** Changes the rate, when the number of live members has changed. */
    public void setRate(long nowMicros, double perSecond) {
        refill(nowMicros);
        tokensPerMicro = Math.max(0, perSecond) / 1e6;
    }

    private void refill(long nowMicros) {
        tokens = Math.min(1, tokens + Math.max(0, nowMicros - atMicros) * tokensPerMicro);
        atMicros = Math.max(atMicros, nowMicros);
    }

    /** Takes a permit if there is one; true if it was taken. */
    public boolean tryAcquire(long nowMicros) {
        refill(nowMicros);
        if (tokens < 1 - 1e-9) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** Takes a permit even if there is none: the following ones are delayed accordingly. */
    public void forceAcquire(long nowMicros) {
        refill(nowMicros);
        tokens = Math.max(-1, tokens - 1);
    }

    /** Time until the next permit; {@link Long#MAX_VALUE} for never. */
    public long waitMicros(long nowMicros) {
        refill(nowMicros);
        return tokens >= 1 - 1e-9
                ? 0
                : tokensPerMicro == 0
                        ? Long.MAX_VALUE
                        : (long) Math.ceil((1 - tokens) / tokensPerMicro);
    }
}
