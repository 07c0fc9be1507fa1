package postgrade.daemon;

import static org.junit.Assert.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import postgrade.Ability;
import postgrade.Dispatcher;

/**
 * A decision module that writes down what it hears and does what the test says. Runs on the loop's
 * thread.
 */
final class Script implements Dispatcher {
    final Actions out;
    Ability ability;
    volatile double lastShare = 1;
    volatile List<Learnt> learnt = List.of();
    final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
    volatile Consumer<Job> onJob = job -> {};
    volatile BiConsumer<String, Integer> onStarted = (id, attempt) -> {};
    volatile BiConsumer<String, Outcome> onFinished = (id, outcome) -> {};

    Script(Actions out) {
        this.out = out;
    }

    void hears(String expected) throws InterruptedException {
        assertEquals(expected, heard.poll(Peer.PATIENCE_S, TimeUnit.SECONDS));
    }

    /**
     * Passes over what else is heard, where that depends on how late the loop comes to a deadline.
     */
    void hearsAmongOthers(String expected) throws InterruptedException {
        String next;
        do {
            next = heard.poll(Peer.PATIENCE_S, TimeUnit.SECONDS);
        } while (next != null && !next.equals(expected));
        assertEquals(expected, next);
    }

    @Override
    public void list(long nowNs, ListForm form, List<Worker> workers) {
        heard.add(
                "list "
                        + form
                        + " "
                        + workers.stream().map(w -> w.id() + " " + w.phase()).toList());
    }

    @Override
    public void recalled(long nowNs, String workerId) {
        heard.add("recalled " + workerId);
    }

    @Override
    public List<Learnt> learnt(long nowNs) {
        return learnt;
    }

    @Override
    public void learn(long nowNs, List<Learnt> all) {
        if (!all.isEmpty()) {
            heard.add(
                    "learn "
                            + all.stream()
                                    .map(
                                            l ->
                                                    l.of()
                                                            + " "
                                                            + l.name()
                                                            + " "
                                                            + Arrays.toString(l.figures()))
                                    .toList());
        }
    }

    @Override
    public void ability(Ability a) {
        ability = a;
    }

    @Override
    public void share(long nowNs, double part) {
        lastShare = part;
        if (part != 1) { // Each start says that.
            heard.add("share " + part);
        }
    }

    @Override
    public void settings(long nowNs, Settings settings) {
        heard.add("settings " + settings.classes.stream().map(JobClass::name).toList());
    }

    @Override
    public void job(long nowNs, Job job) {
        heard.add("job " + job.id());
        onJob.accept(job);
    }

    @Override
    public void started(long nowNs, String jobId, int attempt) {
        heard.add("started " + jobId + " " + attempt);
        onStarted.accept(jobId, attempt);
    }

    @Override
    public void streaming(long nowNs, String jobId, int attempt) {}

    @Override
    public void finished(
            long nowNs, String jobId, int attempt, Outcome outcome, boolean last, Load load) {
        heard.add("finished " + jobId + " " + attempt + " " + outcome + " " + last);
        onFinished.accept(jobId, outcome);
    }

    @Override
    public void probed(long nowNs, String workerId, boolean answered, Load load) {
        heard.add("probed " + workerId + " " + answered);
    }

    @Override
    public void abandoned(long nowNs, String jobId) {
        heard.add("abandoned " + jobId);
    }

    @Override
    public void timer(long nowNs, String token) {
        heard.add("timer " + token);
    }
}
