package postgrade.fleet.model;

import java.util.ArrayList;
import java.util.List;

/**
 * What a job is let in by: for each grant a mask of accelerators and the grant's number, as the
 * header {@code X-Fence: MASK=NUMBER,...} says it, masks in hexadecimal.
 */
public record Fence(List<Grant> grants) {

    /** A job that nobody reserved anything for. */
    public static final Fence NONE = new Fence(List.of());

    public record Grant(long mask, long number) {}

    public Fence {
        grants = List.copyOf(grants);
    }

    /**
     * @throws IllegalArgumentException naming the header
     */
    public static Fence of(String header) {
        if (header == null) {
            return NONE;
        }
        List<Grant> grants = new ArrayList<>();
        long all = 0;
        for (String one : header.split(",")) {
            String[] parts = one.trim().split("=");
            try {
                long mask = Long.parseLong(parts[0], 16);
                long number = Long.parseLong(parts[1]);
                if (parts.length != 2 || mask <= 0 || number <= 0 || (all & mask) != 0) {
                    throw new IllegalArgumentException();
                }
                all |= mask;
                grants.add(new Grant(mask, number));
            } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
                throw new IllegalArgumentException(
                        "X-Fence must be MASK=NUMBER,... with masks in hexadecimal");
            }
        }
        return new Fence(grants);
    }

    /** The grant's number for that accelerator; 0 where this is none of its. */
    long on(int accelerator) {
        for (Grant g : grants) {
            if ((g.mask >> accelerator & 1) != 0) {
                return g.number;
            }
        }
        return 0;
    }

    boolean any() {
        return !grants.isEmpty();
    }
}
