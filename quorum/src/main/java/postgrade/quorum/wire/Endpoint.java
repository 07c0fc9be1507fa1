package postgrade.quorum.wire;

import io.microraft.RaftEndpoint;

/**
 * A voter as its peers count it: its name from the settings and the identity of its store. A store
 * that was wiped comes back with another identity, so a vote given by the one cannot be taken for a
 * vote of the other.
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
