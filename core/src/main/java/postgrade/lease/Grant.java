package postgrade.lease;

import postgrade.shared.Row;

/**
 * A reservation that was granted.
 *
 * @param fence of the entry that granted it, or that gave it to the holder's next incarnation
 * @param sinceMicros and untilMicros in the log's time; it ends at the latter unless it is renewed;
 *     {@link ReservationTable#PENDING}
 * @param allotment what it still has; less than was asked for where a worker has lost accelerators
 */
public record Grant(
        ReservationRequest request,
        long fence,
        long sinceMicros,
        long untilMicros,
        Allotment allotment) {

    static Grant of(Row row) {
        return new Grant(
                ReservationRequest.fromRow(row),
                row.integer("fence"),
                row.integer("since"),
                row.integer("until"),
                Allotment.of(row.text("allotment")));
    }

    Row row() {
        return request.row()
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

    Grant withEnd(long micros) {
        return new Grant(request, fence, sinceMicros, micros, allotment);
    }

    Grant withAllotment(Allotment remaining) {
        return new Grant(request, fence, sinceMicros, untilMicros, remaining);
    }

    /** Before it ends unless it is renewed. */
    long remainingMicros(long logMicros) {
        return untilMicros == ReservationTable.PENDING
                ? request.ttlMicros()
                : untilMicros - logMicros;
    }

    /** When the holder's first job is to be expected, in the log's time. */
    long neededMicros() {
        return sinceMicros + request.neededInMicros();
    }
}
