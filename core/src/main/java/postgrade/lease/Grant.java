package postgrade.lease;

import postgrade.shared.Row;

/**
 * A granted reservation.
 *
 * @param fence of the entry that granted it or that passed it to the holder's next incarnation
 * @param sinceMicros log time of the grant
 * @param untilMicros log time at which it ends unless it is renewed, or {@link
 *     ReservationTable#PENDING}
 * @param allotment its present accelerators; fewer than requested if a worker has lost some
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

    /** Time until it ends unless it is renewed. */
    long remainingMicros(long logMicros) {
        return untilMicros == ReservationTable.PENDING
                ? request.ttlMicros()
                : untilMicros - logMicros;
    }

    /** Log time at which the holder's first job is expected. */
    long neededMicros() {
        return sinceMicros + request.neededInMicros();
    }
}
