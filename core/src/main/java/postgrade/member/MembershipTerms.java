package postgrade.member;

import postgrade.shared.Row;

/**
 * The terms that all members have to agree on. The first member that joins writes them to the log;
 * a join with other terms is rejected, naming the first one that differs.
 *
 * <p>Shares are in millionths of the even share, which is one place's part of every rate: {@link
 * #EVEN_SHARE} times the number of places is the total.
 *
 * @param places maximum number of processes that the rates are split among
 * @param leaseMicros how long a share above the even one may be used after its last renewal, in log
 *     time
 * @param lingerMicros how long after its lease the place of a silent member stays reserved at the
 *     even share
 * @param floor share that each place keeps for ever, so that a process that returns or is
 *     partitioned for long can still serve
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

    /** A lease of six seconds, a linger of twenty, a quarter of the even share as floor. */
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

    /** The name of the first field that differs, or null. */
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
