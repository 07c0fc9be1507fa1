package postgrade.quorum.engine;

import java.util.concurrent.Future;
import java.util.function.Consumer;

/**
 * Answers once: with what came of a question, or after a while that nothing has. Whoever asks then
 * knows that the way to this voter is good, and does not give the connection up, on which the votes
 * go too. All on the engine's thread.
 */
final class InTime<T> implements Consumer<T> {

    private final Consumer<T> answer;
    private Future<?> late;
    private boolean answered;

    private InTime(Consumer<T> answer) {
        this.answer = answer;
    }

    /**
     * @param waitMillis how long the asker waits; it is told somewhat sooner
     */
    static <T> Consumer<T> within(
            EngineThread thread, long waitMillis, T otherwise, Consumer<T> answer) {
        InTime<T> once = new InTime<>(answer);
        once.late = thread.afterMicros(() -> once.accept(otherwise), Math.max(1, waitMillis) * 800);
        return once;
    }

    @Override
    public void accept(T with) {
        if (!answered) {
            answered = true;
            late.cancel(false);
            answer.accept(with);
        }
    }
}
