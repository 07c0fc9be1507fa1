package postgrade.simulation.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** True time, everything that is going to happen, and all chance, from one seed. */
public final class World {

    private record Event(long at, long order, Runnable what) {}

    public final UniformRandomProvider random;
    public final Network network;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Map<String, Node> nodes = new HashMap<>();
    private final List<String> order = new ArrayList<>();
    private final Consumer<String> trace;
    private long now;
    private long scheduled;

    /**
     * @param trace takes each line of the story, or null
     */
    public World(long seed, Consumer<String> trace) {
        random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        network = new Network(this);
        this.trace = trace;
    }

    public long now() {
        return now;
    }

    public void in(long micros, Runnable what) {
        events.add(new Event(now + Math.max(0, micros), scheduled++, what));
    }

    public void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event next = events.poll();
            now = next.at;
            next.what.run();
        }
        now = end;
    }

    public void tell(String format, Object... what) {
        if (trace != null) {
            trace.accept(String.format("%12.6f ", now / 1e6) + String.format(format, what));
        }
    }

    void add(Node node) {
        nodes.put(node.name(), node);
        order.add(node.name());
    }

    Node node(String name) {
        return nodes.get(name);
    }

    /** All, in the order in which they were made. */
    public List<String> names() {
        return order;
    }

    public long between(long least, long most) {
        return least + (long) (random.nextDouble() * (most - least + 1));
    }

    public boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    /** Long waits are rare. */
    public long exponential(double meanMicros) {
        return (long) (-Math.log(1 - random.nextDouble()) * meanMicros);
    }

    public <T> T any(List<T> of) {
        return of.get(random.nextInt(of.size()));
    }
}
