package postgrade.policy;

/** Receives the exported values of one entry. */
interface StateEntryConsumer {

    /**
     * Accepts the values of the entry of this name.
     *
     * @param name unique within the category
     */
    void accept(String name, double[] values);
}
