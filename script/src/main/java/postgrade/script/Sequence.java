package postgrade.script;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;

/** What can be indexed by number: a list, tuple or range. */
public interface Sequence {
    int size();

    Object get(int i);

    String typeName();

    default List<Object> toList() {
        List<Object> all = new ArrayList<>(size());
        for (int i = 0; i < size(); i++) {
            all.add(get(i));
        }
        return all;
    }

    default Iterator<Object> iterator() {
        return new Iterator<>() {
            private int next;

            @Override
            public boolean hasNext() {
                return next < size();
            }

            @Override
            public Object next() {
                if (next >= size()) {
                    throw new NoSuchElementException();
                }
                return get(next++);
            }
        };
    }

    /** Part of this, of the same type. */
    Sequence sliced(List<Object> part);

    /** An unchangeable sequence. */
    record Tuple(List<Object> values) implements Sequence {
        static final Tuple EMPTY = new Tuple(List.of());

        static Tuple of(Object... values) {
            return new Tuple(List.of(values));
        }

        @Override
        public int size() {
            return values.size();
        }

        @Override
        public Object get(int i) {
            return values.get(i);
        }

        @Override
        public String typeName() {
            return "tuple";
        }

        @Override
        public Sequence sliced(List<Object> part) {
            return new Tuple(part);
        }
    }

    /** The ints from start, by step; never held one by one. */
    record Range(long start, int count, long step) implements Sequence {

        static Range of(long start, long stop, long step) {
            if (step == 0) {
                throw new ScriptError("range: step must not be 0");
            }
            long span =
                    step > 0 ? Math.subtractExact(stop, start) : Math.subtractExact(start, stop);
            long by = Math.abs(step);
            long count = span <= 0 ? 0 : (span - 1) / by + 1;
            if (count > Integer.MAX_VALUE) {
                throw new ScriptError("range: too long");
            }
            return new Range(start, (int) count, step);
        }

        @Override
        public int size() {
            return count;
        }

        @Override
        public Object get(int i) {
            return start + i * step;
        }

        @Override
        public String typeName() {
            return "range";
        }

        @Override
        public Sequence sliced(List<Object> part) {
            return new Tuple(part);
        }

        String text() {
            return "range("
                    + start
                    + ", "
                    + (start + count * step)
                    + (step == 1 ? "" : ", " + step)
                    + ")";
        }
    }

    /** A list, changeable until frozen, and not while it is walked over. */
    final class ListValue implements Sequence {
        private final ArrayList<Object> values;
        private boolean frozen;
        private int walkers;

        public ListValue(ArrayList<Object> values) {
            this.values = values;
        }

        @Override
        public int size() {
            return values.size();
        }

        @Override
        public Object get(int i) {
            return values.get(i);
        }

        @Override
        public String typeName() {
            return "list";
        }

        @Override
        public Sequence sliced(List<Object> part) {
            return new ListValue(new ArrayList<>(part));
        }

        /** The values, to be changed; an error where that is not allowed. */
        ArrayList<Object> changeable() {
            if (frozen) {
                throw new ScriptError("the list is frozen");
            }
            if (walkers > 0) {
                throw new ScriptError("the list is changed while it is iterated over");
            }
            return values;
        }

        void freeze() {
            if (!frozen) {
                frozen = true;
                values.forEach(Values::freeze);
            }
        }

        void walk(int by) {
            if (!frozen) {
                walkers += by;
            }
        }
    }
}
