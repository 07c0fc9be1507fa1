package postgrade.fleet.model;

/** One job at the worker. */
public final class Job {
    public final String id;
    public final int priority;
    public final boolean repeatable;

    /** Work on a core of speed 1, in microseconds. */
    public final double workMicros;

    /** Whatever the host wants to keep with it. */
    public final Object attachment;

    /** It runs on an accelerator, of these grants if there are any. */
    public final boolean accelerated;

    public final Fence fence;
    double left;
    boolean running;
    boolean startTold;
    boolean fails;
    long progressMicros;

    public Job(String id, int priority, boolean repeatable, double workMicros, Object attachment) {
        this(id, priority, repeatable, workMicros, attachment, false, Fence.NONE);
    }

    /**
     * @param accelerated it needs an accelerator besides its core, and is never suspended
     */
    public Job(
            String id,
            int priority,
            boolean repeatable,
            double workMicros,
            Object attachment,
            boolean accelerated,
            Fence fence) {
        this.accelerated = accelerated;
        this.fence = fence;
        this.id = id;
        this.priority = priority;
        this.repeatable = repeatable;
        this.workMicros = workMicros;
        this.attachment = attachment;
        left = workMicros;
    }
}
