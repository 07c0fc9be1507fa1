package postgrade.quorum.engine;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import postgrade.log.Events;

/**
 * What keeps a process apart from the others: one sentence for operators, one line of the log at
 * each change.
 */
public final class FaultStatus {

    private static final Logger LOG = LoggerFactory.getLogger(FaultStatus.class);

    private final String name;
    private volatile String fault;

    public FaultStatus(String name) {
        this.name = name;
    }

    /** Null, or what is wrong now. */
    public String current() {
        return fault;
    }

    public void set(String description) {
        if (!description.equals(fault)) {
            fault = description;
            Events.warn(LOG, "sharing.fault").addKeyValue("process", name).log(description);
        }
    }

    /** This one is over; any other stays. */
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
                    .log("nothing keeps it apart any more");
        }
    }
}
