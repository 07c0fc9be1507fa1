package postgrade.policy;

/** Takes the exported figures of one thing. */
interface FiguresConsumer {

    /**
     * @param name which thing of its category
     */
    void accept(String name, double[] values);
}
