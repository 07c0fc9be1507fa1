package postgrade.rig.soak;

/**
 * A signal to a dispatcher.
 *
 * @param atMillis since the load began
 * @param dispatcher counted from 0
 */
record ProcessFault(long atMillis, Kind kind, int dispatcher) {

    /** What is done to the process. */
    enum Kind {
        /** It is told to end, and killed at the earliest time that the protocol allows. */
        RESTART("TERM"),
        /** It is killed without a word, and started again. */
        KILL("KILL"),
        /** It is told to read its configuration, which has changed, again. */
        RELOAD("HUP");

        private final String signal;

        Kind(String signal) {
            this.signal = signal;
        }
    }

    @Override
    public String toString() {
        return kind.signal + " n" + (dispatcher + 1) + " @" + atMillis / 1000.0;
    }
}
