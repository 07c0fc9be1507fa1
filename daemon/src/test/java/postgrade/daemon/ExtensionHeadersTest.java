package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.junit.Before;
import org.junit.Test;
import postgrade.daemon.ScriptedPeer.ReceivedMessage;
import postgrade.dispatch.ExtensionHeaders;
import postgrade.extension.DispatcherExtension;
import postgrade.operator.AdditionalEndpoints;
import postgrade.policy.api.JobConstraints;

/** Job headers that are read by an extension of the dispatcher. */
public class ExtensionHeadersTest extends DaemonTestBase
        implements DispatcherExtension, ExtensionHeaders {

    @Before
    public void installExtension() {
        extensionConfiguration = h -> this;
    }

    @Override
    public JobConstraints jobConstraints() {
        return JobConstraints.NONE;
    }

    @Override
    public AdditionalEndpoints operatorEndpoints() {
        return AdditionalEndpoints.NONE;
    }

    @Override
    public void close() {}

    @Override
    public ExtensionHeaders extensionHeaders() {
        return this;
    }

    @Override
    public Set<String> names() {
        return Set.of("x-window-lasts");
    }

    @Override
    public Consumer<String> read(String jobClass, UnaryOperator<String> value) {
        String lasts = value.apply("x-window-lasts");
        if ("soon".equals(lasts)) {
            throw new IllegalArgumentException("X-Window-Lasts has to be a length");
        }
        return id -> script.events.add("headers " + id + " " + jobClass + " " + lasts);
    }

    private Socket submit(String id, String headers) throws IOException {
        Socket s = connect();
        ScriptedPeer.write(
                s,
                "POST /api HTTP/1.1\r\nX-Request-Id: "
                        + id
                        + "\r\nX-Class: price\r\n"
                        + headers
                        + "Content-Length: 3\r\n\r\njob");
        return s;
    }

    private void assertRejected(String id, String headers, String message) throws IOException {
        ReceivedMessage answer = ScriptedPeer.read(submit(id, headers));
        assertEquals(400, answer.status());
        assertTrue(answer.body(), answer.body().toLowerCase().startsWith(message));
    }

    @Test
    public void headersAreDeliveredBeforeThePolicySeesTheJobAndInvalidOnesAreRejected()
            throws Exception {
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob = job -> script.actions.reject(job.id(), 0);
        assertRejected("c1", "X-Window-Lasts: soon\r\n", "x-window-lasts has to be");
        assertRejected(
                "c1", "X-Window-Lasts: 1m\r\nX-Window-Lasts: 1m\r\n", "x-window-lasts is repeated");
        assertEquals(429, ScriptedPeer.read(submit("c1", "X-Window-Lasts: 90m\r\n")).status());
        script.expectEvent("headers c1 price 90m");
        script.expectEvent("job c1");
        assertEquals(
                "told too if absent, so that no older value stays in force",
                429,
                ScriptedPeer.read(submit("c1", "")).status());
        script.expectEvent("headers c1 price null");
        script.expectEvent("job c1");
    }

    @Test
    public void headersOfARejectedJobAreNotDelivered() throws Exception {
        maxHeldJobs = 1;
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        submit("d1", "X-Window-Lasts: 1m\r\n");
        script.expectEvent("headers d1 price 1m");
        script.expectEvent("job d1");
        assertEquals(
                "a job with its id is open",
                409,
                ScriptedPeer.read(submit("d1", "X-Window-Lasts: 2m\r\n")).status());
        assertEquals(
                "no place for another held job",
                429,
                ScriptedPeer.read(submit("d2", "X-Window-Lasts: 3m\r\n")).status());
        assertTrue("neither was delivered", script.events.isEmpty());
    }

    @Test
    public void headersAreIgnoredWithoutAnExtension() throws Exception {
        extensionConfiguration = null;
        startWithScriptedPolicy(workerEntry("w1", workerOne.address(), "ready"));
        script.onJob = job -> script.actions.reject(job.id(), 0);
        assertEquals(
                429,
                ScriptedPeer.read(submit("e1", "X-Window-Lasts: soon\r\nX-Window-Lasts: now\r\n"))
                        .status());
        script.expectEvent("job e1");
    }
}
