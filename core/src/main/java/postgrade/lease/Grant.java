package postgrade.lease;

import postgrade.shared.Row;

/**
 * A granted reservation.
 *
 * @param fence the fence of the log entry that granted the reservation or, if it has since passed
 *     to a newer incarnation of the holder, of the log entry that passed it on
 * @param sinceMicros log time of the grant
 * @param untilMicros log time at which the grant ends unless it is renewed, or {@link
 *     ReservationTable#PENDING} if the end is not set yet
 * @param allotment the accelerators it holds now; fewer than requested if a worker has lost some
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

    /**
     * Time until the grant ends unless it is renewed; the requested duration while the end is
     * pending.
     */
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
