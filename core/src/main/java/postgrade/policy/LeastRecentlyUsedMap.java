package postgrade.policy;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map keyed by name that evicts the least recently used entry when it exceeds its capacity. */
final class LeastRecentlyUsedMap<V> extends LinkedHashMap<String, V> {

    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int capacity;

    LeastRecentlyUsedMap(int capacity) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        this.capacity = capacity;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
        return size() > capacity;
    }
}
