package postgrade.policy;

/** Takes the exported figures of one thing. */
interface StateEntryConsumer {

    /**
     * Takes the figures of the thing of this name.
     *
     * @param name unique in its category
     */
    void accept(String name, double[] values);
}
