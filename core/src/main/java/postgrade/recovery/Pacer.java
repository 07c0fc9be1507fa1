package postgrade.recovery;

/**
 * Lets something happen at most so often, evenly spaced. Two gates of the same pace whose phases
 * differ are never open at the same moment, so what many processes do at once is spread without a
 * word between them.
 */
public final class Pacer {

    private double tokensPerMicro;
    private double tokens;
    private long atMicros;

    /**
     * @param perSecond how often at most
     * @param phase part of the time between two, from 0 to below 1, that passes before the first
     */
    public Pacer(long nowMicros, double perSecond, double phase) {
        if (!(perSecond >= 0) || !(phase >= 0) || phase >= 1) {
            throw new IllegalArgumentException(
                    "perSecond must not be negative, phase lie from 0 to below 1");
        }
        tokensPerMicro = perSecond / 1e6;
        tokens = 1 - phase;
        atMicros = nowMicros;
    }

    /** More or fewer live than before. */
    public void setRate(long nowMicros, double perSecond) {
        refill(nowMicros);
        tokensPerMicro = Math.max(0, perSecond) / 1e6;
    }

    private void refill(long nowMicros) {
        tokens = Math.min(1, tokens + Math.max(0, nowMicros - atMicros) * tokensPerMicro);
        atMicros = Math.max(atMicros, nowMicros);
    }

    /** True if it may happen now, and then it has. */
    public boolean tryAcquire(long nowMicros) {
        refill(nowMicros);
        if (tokens < 1 - 1e-9) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** It has happened, whether or not it might: what follows waits for longer. */
    public void forceAcquire(long nowMicros) {
        refill(nowMicros);
        tokens = Math.max(-1, tokens - 1);
    }

    /** How long until it may happen; {@link Long#MAX_VALUE} for never. */
    public long waitMicros(long nowMicros) {
        refill(nowMicros);
        return tokens >= 1 - 1e-9
                ? 0
                : tokensPerMicro == 0
                        ? Long.MAX_VALUE
                        : (long) Math.ceil((1 - tokens) / tokensPerMicro);
    }
}
