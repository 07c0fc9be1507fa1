package postgrade.member;

import postgrade.shared.Row;

/**
 * What all members have to agree on. The first that joins writes it into the log; one that comes
 * with other terms is told which differ.
 *
 * <p>Shares count in millionths of the even share, that is of one place's part of every rate:
 * {@link #EVEN_SHARE} times the places is the whole.
 *
 * @param places over how many processes the rates are split at most
 * @param leaseMicros how long a share above the even one may be used after it was last renewed, by
 *     the log's time
 * @param lingerMicros how long after its lease the place of a silent member is kept at the even
 *     share
 * @param floor what each place keeps for ever, so that one that comes back or is long cut off has
 *     something to serve by
 */
public record MembershipTerms(int places, long leaseMicros, long lingerMicros, long floor) {

    public static final long EVEN_SHARE = 1_000_000;
    private static final int MAX_PLACES = 1000;
    private static final long MIN_LEASE_MICROS = 2 * EffectiveShare.MAX_UNCOMMITTED_MICROS;
    private static final long MAX_DURATION_MICROS = 3_600_000_000L;

    public MembershipTerms {
        check("places", places, 1, MAX_PLACES);
        check("leaseMicros", leaseMicros, MIN_LEASE_MICROS, MAX_DURATION_MICROS);
        check("lingerMicros", lingerMicros, 0, MAX_DURATION_MICROS);
        check("floor", floor, 1, EVEN_SHARE);
    }

    /** Six seconds of lease, twenty of linger, a quarter of the even share as floor. */
    public static MembershipTerms of(int places) {
        return new MembershipTerms(places, 6_000_000, 20_000_000, EVEN_SHARE / 4);
    }

    private static void check(String field, long value, long min, long max) {
        if (value < min || value > max) {
            throw new Row.InvalidFieldException(field, "must lie between " + min + " and " + max);
        }
    }

    static MembershipTerms of(Row row) {
        return new MembershipTerms(
                (int) row.integer("places", 1, MAX_PLACES),
                row.integer("leaseMicros"),
                row.integer("lingerMicros"),
                row.integer("floor"));
    }

    Row row() {
        return Row.of(
                "places",
                places,
                "leaseMicros",
                leaseMicros,
                "lingerMicros",
                lingerMicros,
                "floor",
                floor);
    }

    long totalShare() {
        return places * EVEN_SHARE;
    }

    /** The name of the first that differs, or null. */
    String firstDifference(MembershipTerms other) {
        return places != other.places
                ? "places"
                : leaseMicros != other.leaseMicros
                        ? "leaseMicros"
                        : lingerMicros != other.lingerMicros
                                ? "lingerMicros"
                                : floor != other.floor ? "floor" : null;
    }
}
