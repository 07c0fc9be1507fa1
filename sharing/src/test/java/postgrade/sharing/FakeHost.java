package postgrade.sharing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import postgrade.dispatch.Timers;
import postgrade.extension.Host;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.PolicyStateEntry;
import postgrade.policy.api.Tenant;

/** A fake dispatcher on virtual time, with only the functions that the extension uses. */
final class FakeHost implements Host, Timers {

    private record ScheduledTask(long when, long number, Runnable task) {}

    private final PriorityQueue<ScheduledTask> scheduled =
            new PriorityQueue<>(
                    (a, b) ->
                            a.when != b.when
                                    ? Long.compare(a.when, b.when)
                                    : Long.compare(a.number, b.number));
    private final String name;
    private long now = 86_400_000_000L;
    private long nextNumber;
    double rateFactor = 1;
    double minRateFactor = 1;
    long unixMillis = 1_800_000_000_000L;
    boolean onlyProcess = true;
    boolean startedByHandOver;
    String predecessorState = "";
    List<PolicyStateEntry> policyState = List.of();
    final List<PolicyStateEntry> imported = new ArrayList<>();
    final Map<String, WorkerStatus> workers = new LinkedHashMap<>();
    final Set<String> inMaintenance = new TreeSet<>();
    final Set<String> connected = new TreeSet<>();
    int callsPerConnection;

    FakeHost(String name) {
        this.name = name;
    }

    void addWorker(String id, long startedMillis) {
        workers.put(id, new WorkerStatus(id, "a", "m", 1, startedMillis, true, false));
    }

    /**
     * Advances the clocks by this time and runs the timers that expire meanwhile. The wall clock
     * advances only after they have run.
     */
    void run(long micros) {
        long end = now + micros;
        while (!scheduled.isEmpty() && scheduled.peek().when <= end) {
            ScheduledTask next = scheduled.poll();
            now = Math.max(now, next.when);
            next.task.run();
        }
        now = end;
        unixMillis += micros / 1000;
    }

    /**
     * Advances the clocks without running any timers, as when the process is suspended and resumed.
     */
    void suspend(long micros) {
        now += micros;
        unixMillis += micros / 1000;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public PolicySettings settings() {
        return PolicySettings.builder()
                .dispatcherCount(2)
                .classes(
                        List.of(
                                JobClass.of("price", Idempotency.IDEMPOTENT),
                                JobClass.of("confirm", Idempotency.NOT_IDEMPOTENT)))
                .tenants(List.of(new Tenant("t", 100)))
                .build();
    }

    @Override
    public Timers timers() {
        return this;
    }

    @Override
    public long nowMicros() {
        return now;
    }

    @Override
    public Timer at(long whenMicros, Runnable task) {
        ScheduledTask scheduledTask = new ScheduledTask(whenMicros, nextNumber++, task);
        scheduled.add(scheduledTask);
        return () -> scheduled.remove(scheduledTask);
    }

    @Override
    public LongSupplier monotonicMicros() {
        return () -> now;
    }

    @Override
    public LongSupplier unixMillis() {
        return () -> unixMillis;
    }

    @Override
    public Executor loopExecutor() {
        return task -> at(now, task);
    }

    @Override
    public List<PolicyStateEntry> exportPolicyState() {
        return policyState;
    }

    @Override
    public void importPolicyState(List<PolicyStateEntry> all) {
        imported.addAll(all);
    }

    @Override
    public boolean startedByHandOver() {
        return startedByHandOver;
    }

    @Override
    public String predecessorState() {
        return predecessorState;
    }

    @Override
    public boolean isOnlyProcess() {
        return onlyProcess;
    }

    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public List<WorkerStatus> workers() {
        return List.copyOf(workers.values());
    }

    @Override
    public boolean isConnected(String workerId) {
        return connected.contains(workerId);
    }

    @Override
    public boolean anyConnectedWithCallsBelow(int fewerThan) {
        return !connected.isEmpty() && callsPerConnection < fewerThan;
    }

    @Override
    public long maxIdleMicros() {
        return 4_000_000;
    }

    @Override
    public boolean enterMaintenance(String workerId) {
        return inMaintenance.add(workerId);
    }

    @Override
    public boolean exitMaintenance(String workerId) {
        return inMaintenance.remove(workerId);
    }

    @Override
    public void setRateFactor(double factor) {
        rateFactor = factor;
        minRateFactor = Math.min(minRateFactor, factor);
    }
}
