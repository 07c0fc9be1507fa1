package postgrade.quorum.wire;

import io.microraft.RaftEndpoint;

/**
 * A voter as its peers know it: its name from the settings and the identity of its store. A voter
 * whose store was deleted gets another identity, so votes of the two cannot be confused.
 */
public record Endpoint(String name, String identity) implements RaftEndpoint {

    @Override
    public Object getId() {
        return name + "/" + identity;
    }

    public static Endpoint of(String id) {
        int at = id.lastIndexOf('/');
        if (at <= 0) {
            throw new IllegalArgumentException("not an endpoint: " + id);
        }
        return new Endpoint(id.substring(0, at), id.substring(at + 1));
    }

    public static Endpoint of(RaftEndpoint e) {
        return e == null ? null : (Endpoint) e;
    }

    @Override
    public String toString() {
        return name + "/" + identity;
    }
}
