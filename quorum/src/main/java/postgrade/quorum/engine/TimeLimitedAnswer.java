package postgrade.quorum.engine;

import java.util.concurrent.Future;
import java.util.function.Consumer;

/**
 * Answers exactly once: with the outcome of a request, or with a fallback after a timeout. The
 * caller then knows that its connection to this voter works and does not close it; the connection
 * also carries the votes. Used on the engine's thread.
 */
final class TimeLimitedAnswer<T> implements Consumer<T> {

    private final Consumer<T> answer;
    private Future<?> timeout;
    private boolean answered;

    private TimeLimitedAnswer(Consumer<T> answer) {
        this.answer = answer;
    }

    /**
     * Wraps an answer with a timeout.
     *
     * @param timeoutMillis how long the caller waits; the fallback is sent somewhat earlier
     */
    static <T> Consumer<T> withTimeout(
            EngineThread thread, long timeoutMillis, T fallback, Consumer<T> answer) {
        TimeLimitedAnswer<T> limited = new TimeLimitedAnswer<>(answer);
        limited.timeout =
                thread.scheduleMicros(
                        () -> limited.accept(fallback), Math.max(1, timeoutMillis) * 800);
        return limited;
    }

    @Override
    public void accept(T value) {
        if (!answered) {
            answered = true;
            timeout.cancel(false);
            answer.accept(value);
        }
    }
}
