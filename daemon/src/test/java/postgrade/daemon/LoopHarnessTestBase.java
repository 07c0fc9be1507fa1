package postgrade.daemon;

import java.io.IOException;
import java.net.Socket;
import org.junit.After;

/** Base of tests of the loop with everything that serves clients, and a scripted policy. */
public abstract class LoopHarnessTestBase extends DaemonTestBase {

    /** Started by the subclass before each test. */
    LoopHarness harness;

    /** Starts the loop with one worker, which is sent the jobs whose ids begin with "usual". */
    void startServingUsualJobs() throws Exception {
        harness = new LoopHarness(Config.read(configuration()), 1024);
        harness.addWorker("w1", workerOne);
        harness.script.onJob =
                job -> {
                    if (job.id().startsWith("usual")) {
                        harness.script.actions.startAttempt(job.id(), "w1", 0);
                    }
                };
    }

    @After
    public void close() throws IOException {
        harness.close();
    }

    @Override
    Socket connect() throws IOException {
        return harness.connect();
    }
}
