package postgrade.quorum.engine;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.log.Events;

/**
 * The current fault that keeps a process from taking part: one sentence for operators, and one log
 * line at each change.
 */
public final class FaultStatus {

    private static final Logger LOG = LoggerFactory.getLogger(FaultStatus.class);

    private final String name;
    private volatile String fault;

    public FaultStatus(String name) {
        this.name = name;
    }

    /** The current fault, or null. */
    public String current() {
        return fault;
    }

    public void set(String description) {
        if (!description.equals(fault)) {
            fault = description;
            Events.warn(LOG, "sharing.fault").addKeyValue("process", name).log(description);
        }
    }

    /** Clears this fault; any other stays. */
    public void clear(String description) {
        if (description.equals(fault)) {
            clear();
        }
    }

    public void clear() {
        if (fault != null) {
            fault = null;
            Events.info(LOG, "sharing.well")
                    .addKeyValue("process", name)
                    .log("the fault is cleared");
        }
    }
}
