package postgrade.script;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A dict in the order of insertion, changeable until frozen, and not while it is walked over. */
public final class DictValue {
    private final Map<Object, Map.Entry<Object, Object>> entries = new LinkedHashMap<>();
    private boolean frozen;
    private int walkers;

    int size() {
        return entries.size();
    }

    /** The value under a key, or null. */
    public Object getOrNull(Object key) {
        Map.Entry<Object, Object> e = entries.get(Values.key(key));
        return e == null ? null : e.getValue();
    }

    void put(Object key, Object value) {
        check();
        Object at = Values.key(key);
        Map.Entry<Object, Object> before = entries.get(at);
        entries.put(at, Map.entry(before == null ? key : before.getKey(), value));
    }

    Object remove(Object key) {
        check();
        Map.Entry<Object, Object> e = entries.remove(Values.key(key));
        return e == null ? null : e.getValue();
    }

    void clear() {
        check();
        entries.clear();
    }

    /** The keys, in order. */
    public List<Object> keyList() {
        List<Object> keys = new ArrayList<>(entries.size());
        entries.values().forEach(e -> keys.add(e.getKey()));
        return keys;
    }

    Iterator<Object> iterator() {
        return keyList().iterator();
    }

    void walk(int by) {
        if (!frozen) {
            walkers += by;
        }
    }

    void check() {
        if (frozen) {
            throw new ScriptError("the dict is frozen");
        }
        if (walkers > 0) {
            throw new ScriptError("the dict is changed while it is iterated over");
        }
    }

    void freeze() {
        if (!frozen) {
            frozen = true;
            entries.values().forEach(e -> Values.freeze(e.getValue()));
        }
    }
}
