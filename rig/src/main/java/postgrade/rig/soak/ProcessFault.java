package postgrade.rig.soak;

/**
 * A signal to a dispatcher.
 *
 * @param atMillis time since the start of the load
 * @param dispatcher index from 0
 */
record ProcessFault(long atMillis, Kind kind, int dispatcher) {

    /** What is done to the process. */
    enum Kind {
        /** It is asked to shut down, and killed at the earliest time that the protocol allows. */
        RESTART("TERM"),
        /** It is killed without notice and restarted. */
        KILL("KILL"),
        /** Its configuration is changed, and it is asked to reload it. */
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
