package postgrade.daemon;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;

/**
 * The id of a job comes again after its client has left. Guards against a job that must not run
 * twice and is begun twice, by one process or by two that are linked for an upgrade.
 */
public class RepeatedIdTest extends DaemonTestBase {

    private static final int JOBS = 6;

    /** With so many connections some reach each of two processes. */
    private static final int TRIES = 8;

    private final BlockingQueue<String> begun = new LinkedBlockingQueue<>();
    private Map<String, String> environment;
    private Daemon oldDaemon;

    @Before
    public void startWorker() throws IOException {
        listen = reserveAddress("127.0.0.78");
        sharedDirectory = Files.createDirectory(folder.getRoot().toPath().resolve("t"));
        environment = configuration(workerEntry("w1", workerOne.address(), "ready"));
        Thread worker = new Thread(this::work);
        worker.setDaemon(true);
        worker.start();
    }

    @After
    public void stopDaemons() throws Exception {
        awaitStopped(stopInBackground(daemon));
        if (oldDaemon != null) {
            awaitStopped(stopInBackground(oldDaemon));
        }
    }

    /** Accepts each job and confirms each DELETE. */
    private void work() {
        try {
            while (true) {
                ReceivedMessage message = workerOne.awaitMessage();
                if (message.head().startsWith("POST")) {
                    message.accept();
                    begun.add(message.header("X-Request-Id"));
                } else {
                    message.reply("200 OK", "");
                }
            }
        } catch (AssertionError | InterruptedException | UncheckedIOException e) {
            // The test is over.
        }
    }

    private void startNew() throws Exception {
        oldDaemon = daemon;
        daemon = new Daemon(Config.read(environment));
        daemon.start();
    }

    private void beginAndLeave(String id, String jobClass) throws Exception {
        Socket client = post(id, jobClass, "15000m");
        assertEquals(id, begun.poll(ScriptedPeer.TIMEOUT_S, TimeUnit.SECONDS));
        client.close();
    }

    /** Posts the id again once it is no longer in flight, and returns the text of the refusal. */
    private String refusalOf(String id) throws IOException {
        String text;
        do {
            Socket client = post(id, "confirm", "15000m");
            ReceivedMessage answer = ScriptedPeer.read(client);
            assertEquals(409, answer.status());
            text = answer.body();
            client.close();
        } while (text.contains("is open"));
        return text;
    }

    private void assertNotBegunAgain(String id) throws IOException {
        for (int i = 0; i < TRIES; i++) {
            assertEquals("a job with this id may have run\n", refusalOf(id));
        }
    }

    @Test
    public void jobThatMustNotRunTwiceIsNotBegunAgainAfterItsClientHasLeft() throws Exception {
        startNew();
        beginAndLeave("a1", "confirm");
        assertNotBegunAgain("a1");
    }

    /** Nor at the new process, whether it was begun before that started or later. */
    @Test
    public void jobBegunAtOneProcessOfAnUpgradeIsNotBegunAtTheOther() throws Exception {
        startNew();
        for (int i = 0; i < JOBS; i++) {
            beginAndLeave("before" + i, "confirm");
        }
        startNew();
        for (int i = 0; i < JOBS; i++) {
            beginAndLeave("beside" + i, "confirm");
        }
        for (int i = 0; i < JOBS; i++) {
            assertNotBegunAgain("before" + i);
            assertNotBegunAgain("beside" + i);
        }
    }

    @Test
    public void jobThatMayRunTwiceIsServedAgain() throws Exception {
        startNew();
        beginAndLeave("c1", "price");
        assertServedAgain();
    }

    /** As after the end of a process of an upgrade whose clients send their jobs once more. */
    @Test
    public void jobThatMayRunTwiceIsServedAtTheOtherProcess() throws Exception {
        startNew();
        beginAndLeave("c1", "price");
        startNew();
        awaitStopped(stopInBackground(oldDaemon));
        assertServedAgain();
    }

    private void assertServedAgain() throws Exception {
        Socket again;
        do {
            again = post("c1", "price", "15000m");
        } while (begun.poll(200, TimeUnit.MILLISECONDS) == null);
        assertEquals(204, callBack("c1", "w1", "done"));
        assertEquals(200, ScriptedPeer.read(again).status());
    }
}
