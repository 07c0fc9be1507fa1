package postgrade.lease;

import postgrade.shared.Row;

/**
 * A reservation that was granted.
 *
 * @param fence of the entry that granted it, or that gave it to the holder's next incarnation
 * @param sinceMicros and untilMicros in the log's time; it ends at the latter unless it is renewed;
 *     {@link Book#NEXT}
 * @param allotment what it still has; less than was asked for where a worker has lost accelerators
 */
public record Held(Ask ask, long fence, long sinceMicros, long untilMicros, Allotment allotment) {

    static Held of(Row row) {
        return new Held(
                Ask.ofRow(row),
                row.integer("fence"),
                row.integer("since"),
                row.integer("until"),
                Allotment.of(row.text("allotment")));
    }

    Row row() {
        return ask.row()
                .with(
                        "fence",
                        fence,
                        "since",
                        sinceMicros,
                        "until",
                        untilMicros,
                        "allotment",
                        allotment);
    }

    Held until(long micros) {
        return new Held(ask, fence, sinceMicros, micros, allotment);
    }

    Held with(Allotment left) {
        return new Held(ask, fence, sinceMicros, untilMicros, left);
    }

    /** Before it ends unless it is renewed. */
    long leftMicros(long logMicros) {
        return untilMicros == Book.NEXT ? ask.ttlMicros() : untilMicros - logMicros;
    }

    /** When the holder's first job is to be expected, in the log's time. */
    long neededMicros() {
        return sinceMicros + ask.neededInMicros();
    }
}
