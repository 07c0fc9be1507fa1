package postgrade.lease;

import postgrade.shared.Row;

/**
 * What a holder requests: accelerators of one site, of one kind, or of one kind at one site.
 *
 * @param site empty for any; the site or the kind is named
 * @param kind empty for any
 * @param incarnation of the holder; a restarted planner has a higher one
 * @param ttlMicros how long a reservation or a queue entry lives without being renewed
 * @param neededInMicros expected time between the grant and the first of the holder's jobs
 */
public record ReservationRequest(
        String holder,
        String site,
        String kind,
        long accelerators,
        long incarnation,
        long ttlMicros,
        long neededInMicros) {

    static final long MIN_TTL_MS = 2000;
    static final long MAX_TTL_MS = 3_600_000;
    static final int MAX_ACCELERATORS = 10_000;

    /** Parses the arguments of a command. */
    static ReservationRequest fromArguments(Row args) {
        ReservationRequest identity = identity(args);
        return new ReservationRequest(
                identity.holder,
                identity.site,
                identity.kind,
                args.integer("accelerators", 1, MAX_ACCELERATORS),
                identity.incarnation,
                args.integer("ttlMs", MIN_TTL_MS, MAX_TTL_MS) * 1000,
                args.has("neededInMs") ? args.integer("neededInMs", 0, MAX_TTL_MS) * 1000 : 0);
    }

    /** Parses only the holder, the site and the kind, with the incarnation. */
    static ReservationRequest identity(Row args) {
        String site = args.has("site") ? validName(args, "site") : "";
        String kind = args.has("kind") ? validName(args, "kind") : "";
        if (site.isEmpty() && kind.isEmpty()) {
            throw new Row.InvalidFieldException("site", "or kind must be named");
        }
        return new ReservationRequest(
                validName(args, "holder"),
                site,
                kind,
                0,
                args.has("incarnation") ? args.integer("incarnation", 0, Long.MAX_VALUE) : 0,
                0,
                0);
    }

    static ReservationRequest fromRow(Row row) {
        return new ReservationRequest(
                row.text("holder"),
                row.text("site"),
                row.text("kind"),
                row.integer("accelerators"),
                row.integer("incarnation"),
                row.integer("ttl"),
                row.integer("neededIn"));
    }

    Row row() {
        return Row.of(
                "holder",
                holder,
                "site",
                site,
                "kind",
                kind,
                "accelerators",
                accelerators,
                "incarnation",
                incarnation,
                "ttl",
                ttlMicros,
                "neededIn",
                neededInMicros);
    }

    /** A holder has one reservation or one queue entry per key. */
    String key() {
        return holder + "|" + site + "|" + kind;
    }

    /**
     * Accepts letters, digits and {@code . _ : -}, so that a name can stand in keys and headers.
     */
    static String validName(Row args, String field) {
        String name = args.text(field);
        boolean valid = !name.isEmpty() && name.length() <= 64;
        for (int i = 0; valid && i < name.length(); i++) {
            char c = name.charAt(i);
            valid =
                    c >= 'a' && c <= 'z'
                            || c >= 'A' && c <= 'Z'
                            || c >= '0' && c <= '9'
                            || "._:-".indexOf(c) >= 0;
        }
        if (!valid) {
            throw new Row.InvalidFieldException(
                    field, "must be 1 to 64 letters, digits or any of . _ : -");
        }
        return name;
    }
}
