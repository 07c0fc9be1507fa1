package postgrade.telemetry;

import java.util.Arrays;
import java.util.Locale;
import java.util.StringJoiner;
import postgrade.dispatch.AnsweredRequest;
import postgrade.dispatch.EndEvidence;
import postgrade.dispatch.EndedAttempt;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DecisionReason;

/** Counts the ends of attempts by outcome and evidence, and answers by kind and reason. */
final class AttemptCounters {

    private static final int OUTCOMES = AttemptOutcome.values().length;
    private static final int EVIDENCE = EndEvidence.Kind.values().length;
    private static final int ANSWERS = AnsweredRequest.Answer.values().length;
    private static final int REASONS = DecisionReason.values().length;

    private final long[] ends = new long[OUTCOMES * EVIDENCE];
    private final long[] answers = new long[ANSWERS * REASONS];
    private final long[] cancels = new long[REASONS];
    private long repeated;
    private long unmatchedReports;
    private long contradictedEnds;

    void ended(EndedAttempt attempt) {
        ends[attempt.outcome().ordinal() * EVIDENCE + attempt.evidence().kind().ordinal()]++;
    }

    void answered(AnsweredRequest request) {
        answers[request.answer().ordinal() * REASONS + request.reason().ordinal()]++;
    }

    void cancelled(DecisionReason reason) {
        cancels[reason.ordinal()]++;
    }

    void repeated() {
        repeated++;
    }

    void reportUnmatched() {
        unmatchedReports++;
    }

    void endContradicted() {
        contradictedEnds++;
    }

    /** Returns a number that changes when an end, an answer or an unmatched report is counted. */
    long total() {
        return Arrays.stream(ends).sum() + Arrays.stream(answers).sum() + unmatchedReports;
    }

    /** Returns the ends as {@code OUTCOME/EVIDENCE=count}, those above 0. */
    String endsText() {
        return pairs(ends, AttemptOutcome.values(), EndEvidence.Kind.values());
    }

    /** Returns the answers as {@code ANSWER/REASON=count}, those above 0. */
    String answersText() {
        return pairs(answers, AnsweredRequest.Answer.values(), DecisionReason.values());
    }

    /** Returns the cancelled attempts as {@code REASON=count}, those above 0. */
    String cancelsText() {
        StringJoiner text = new StringJoiner(" ");
        for (DecisionReason reason : DecisionReason.values()) {
            if (cancels[reason.ordinal()] > 0) {
                text.add(lowerCaseName(reason) + "=" + cancels[reason.ordinal()]);
            }
        }
        return text.toString();
    }

    long repeatedAttempts() {
        return repeated;
    }

    long unmatchedReports() {
        return unmatchedReports;
    }

    long contradictedEnds() {
        return contradictedEnds;
    }

    private static String pairs(long[] counts, Enum<?>[] rows, Enum<?>[] columns) {
        StringJoiner text = new StringJoiner(" ");
        for (Enum<?> row : rows) {
            for (Enum<?> column : columns) {
                long count = counts[row.ordinal() * columns.length + column.ordinal()];
                if (count > 0) {
                    text.add(lowerCaseName(row) + "/" + lowerCaseName(column) + "=" + count);
                }
            }
        }
        return text.toString();
    }

    private static String lowerCaseName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
