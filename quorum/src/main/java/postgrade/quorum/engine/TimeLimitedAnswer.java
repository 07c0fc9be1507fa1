package postgrade.quorum.engine;

import java.util.concurrent.Future;
import java.util.function.Consumer;

/**
 * Answers once: with what came of a question, or after a while that nothing has. Whoever asks then
 * knows that the way to this voter is good, and does not give the connection up, on which the votes
 * go too. All on the engine's thread.
 */
final class TimeLimitedAnswer<T> implements Consumer<T> {

    private final Consumer<T> answer;
    private Future<?> timeout;
    private boolean answered;

    private TimeLimitedAnswer(Consumer<T> answer) {
        this.answer = answer;
    }

    /**
     * @param waitMillis how long the asker waits; it is told somewhat sooner
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
