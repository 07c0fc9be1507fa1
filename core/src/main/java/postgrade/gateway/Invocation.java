package postgrade.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * A consumer's request from its arrival until its answer is given and every call made for it has
 * ended.
 */
public final class Invocation {
    final String id;
    final String jobClass;
    final String tenant;
    final String key;
    final double slots;
    final double memory;
    final long deadlineMicros;
    final Payload payload;
    final Consumer consumer;
    final List<InvokerCall> calls = new ArrayList<>(2);

    /** Calls that have not ended, and ends that the module has not heard of. */
    int callsOut;

    int untold;
    boolean answered;
    boolean mayDuplicate;
    long arrivedMicros;
    Timers.Timer overdue;

    /**
     * @param tenant or key null where there is none
     */
    public Invocation(
            String id,
            String jobClass,
            String tenant,
            String key,
            double slots,
            double memory,
            long deadlineMicros,
            Payload payload,
            Consumer consumer) {
        this.id = Objects.requireNonNull(id);
        this.jobClass = Objects.requireNonNull(jobClass);
        this.tenant = tenant;
        this.key = key;
        this.slots = slots;
        this.memory = memory;
        this.deadlineMicros = deadlineMicros;
        this.payload = payload;
        this.consumer = consumer;
    }

    /** Its call at this provider that has not ended, or null. */
    InvokerCall callOutAt(String providerId) {
        for (InvokerCall call : calls) {
            if (call.out() && call.handle != null && call.providerId.equals(providerId)) {
                return call;
            }
        }
        return null;
    }

    boolean settled() {
        return answered && callsOut == 0 && untold == 0;
    }
}
