package postgrade.script;

/** The variables of one call, and the frame in which its function was defined. */
final class Frame {
    final Object[] slots;
    final Frame outer;

    Frame(int size, Frame outer) {
        slots = new Object[size];
        this.outer = outer;
    }

    Frame up(int depth) {
        Frame f = this;
        for (int i = 0; i < depth; i++) {
            f = f.outer;
        }
        return f;
    }
}
