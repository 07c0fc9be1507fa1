package postgrade.rig.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** A proxy for every ordered pair of a connecting and a listening process. */
public final class ProxyMesh implements Closeable {

    private record Pair(String from, String to) {}

    private final Map<Pair, FaultProxy> proxies = new LinkedHashMap<>();

    /**
     * Opens the proxies.
     *
     * @param listening processes that others connect to; the others only connect
     */
    public ProxyMesh(List<String> names, List<String> listening) throws IOException {
        for (String from : names) {
            for (String to : listening) {
                if (!from.equals(to)) {
                    proxies.put(new Pair(from, to), new FaultProxy(from + "-" + to));
                }
            }
        }
    }

    public FaultProxy between(String from, String to) {
        FaultProxy p = proxies.get(new Pair(from, to));
        if (p == null) {
            throw new IllegalArgumentException("no proxy between " + from + " and " + to);
        }
        return p;
    }

    /** Sets the address at which a process listens, for all proxies that lead to it. */
    public void setTarget(String name, InetSocketAddress address) {
        forEachMatching(p -> p.to.equals(name), p -> p.setTarget(address));
    }

    /** Cuts, in both directions, every pair with exactly one member in the set. */
    public void isolate(Set<String> isolated) {
        forEachMatching(p -> isolated.contains(p.from) != isolated.contains(p.to), FaultProxy::cut);
    }

    /** Blocks what these processes send to others; what is sent to them still arrives. */
    public void blockOutgoing(Set<String> muted) {
        forEachMatching(
                p -> muted.contains(p.from) && !muted.contains(p.to), p -> p.cut(Direction.OUT));
        forEachMatching(
                p -> muted.contains(p.to) && !muted.contains(p.from), p -> p.cut(Direction.BACK));
    }

    public void heal() {
        forEachMatching(p -> true, FaultProxy::heal);
    }

    /** Applies an action to every proxy whose connecting or listening side has this name. */
    public void forEachProxyOf(String name, Consumer<FaultProxy> action) {
        forEachMatching(p -> p.from.equals(name) || p.to.equals(name), action);
    }

    private void forEachMatching(Predicate<Pair> condition, Consumer<FaultProxy> action) {
        proxies.forEach(
                (pair, proxy) -> {
                    if (condition.test(pair)) {
                        action.accept(proxy);
                    }
                });
    }

    public Set<String> names() {
        Set<String> names = new TreeSet<>();
        proxies.keySet()
                .forEach(
                        p -> {
                            names.add(p.from);
                            names.add(p.to);
                        });
        return names;
    }

    /** Sum of the traffic through all proxies. */
    public FaultProxy.Counts counts() {
        long connections = 0;
        long out = 0;
        long back = 0;
        for (FaultProxy p : proxies.values()) {
            connections += p.counts().connections();
            out += p.counts().bytesOut();
            back += p.counts().bytesBack();
        }
        return new FaultProxy.Counts(connections, out, back);
    }

    @Override
    public void close() throws IOException {
        for (FaultProxy p : new ArrayList<>(proxies.values())) {
            p.close();
        }
    }
}
