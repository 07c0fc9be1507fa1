package postgrade.simulation.check;

import java.util.Map;

/**
 * At every instant all shares in use stay within the whole, plus what the operator allowed for
 * those cut off.
 */
public final class ShareCheck {

    private static final double ROUNDING = 1e-6;

    private final Checks checks;
    private final Checks.Expected expected;
    private boolean even;

    ShareCheck(Checks checks, Checks.Expected expected) {
        this.checks = checks;
        this.expected = expected;
    }

    /**
     * While nothing but restarts within the linger happens, nobody may have more than the even
     * share.
     */
    public void maySwing(boolean may) {
        even = !may;
    }

    /**
     * @param cutOff how many run and have had no view for as long as a lease
     */
    public void inUse(Map<String, Double> factors, int cutOff) {
        double sum = 0;
        double most = 0;
        for (double f : factors.values()) {
            sum += f;
            most = Math.max(most, f);
        }
        double bound =
                expected.places() + cutOff * Math.max(0, expected.fallback() - expected.floor());
        if (sum > bound + ROUNDING) {
            checks.violation(
                    "shares sum to %.4f of %d (bound %.4f): %s",
                    sum, expected.places(), bound, factors);
        }
        if (even && most > 1 + ROUNDING) {
            checks.violation("a share swung to %.4f: %s", most, factors);
        }
        checks.count("instants at which shares were summed");
        checks.most("greatest share, thousandths of even", (long) (most * 1000));
        checks.most(
                "greatest sum, thousandths of the whole", (long) (sum * 1000 / expected.places()));
    }

    /** Everything works again since long: the part of the dead is with those that live. */
    public void settled(Map<String, Double> factors, int dead) {
        double target = (expected.places() - dead * expected.floor()) / factors.size();
        factors.forEach(
                (name, f) -> {
                    if (Math.abs(f - target) > 1e-3) {
                        checks.violation(
                                "%s serves by %.4f, not %.4f, with %d dead: %s",
                                name, f, target, dead, factors);
                    }
                });
        checks.count("times settled");
    }
}
