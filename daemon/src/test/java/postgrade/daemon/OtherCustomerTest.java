package postgrade.daemon;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.Test;

/**
 * Customers whose settings share some names and nothing else: one alone, and one after the other in
 * one process.
 */
public class OtherCustomerTest extends DaemonTestBase {

    /**
     * Six classes, digits and hyphens in names, eight zones. Two workers of one kind, which is not
     * named first.
     */
    private static final String MANY =
            "{'balancers':3,'index':2,'zone':'s-2','kindOfService':'jobs','tier':0,"
                    + "'tiers':['sort-workers'],'skus':['2u-48','m'],'dcs':['n-1','n-2','n-3','s-1','s-2','s-3','w-1','a'],"
                    + "'classes':["
                    + job("scan-2d", "read_like", 150, 900, 12)
                    + ","
                    + job("label-4x6", "non_idempotent", 200, 950, 1)
                    + ","
                    + job("eta-15", "read_like", 120, 700, 0.5)
                    + ","
                    + job("3pl-sync", "idempotency_key", 400, 3000, 2)
                    + ","
                    + job("both", "non_idempotent", 800, 8000, 4)
                    + ","
                    + job("z9", "non_idempotent", 200, 2000, 3)
                    + "],"
                    + "'specifics':{'tellsStart':true,'classKind':[-1,-1,1,-1,-1,-1],'classStretch':[2,2,1.5,2,1.75,2.5]},"
                    + "'limits':{'cancel':true,'maxAttempts':5,'mayDuplicate':true,'mostHeld':200,'connIdleNs':6000000000,"
                    + "'connectTimeoutNs':15000000000,'maxRetryAfterNs':1000000000},"
                    + "'obligations':{'coldShare':0.12,'warmWithinNs':18000000000,'fallMultiple':2.0,'fallNs':1000000000},"
                    + "'tenants':[{'name':'t-01','quotaPerS':90},{'name':'8-ball','quotaPerS':30},{'name':'t','quotaPerS':30}]}";

    /**
     * One class, one tenant, one zone, one attempt; a class and a tenant are called as with the
     * other.
     */
    private static final String PLAIN =
            "{'balancers':1,'index':0,'zone':'main','kindOfService':'jobs','tier':0,"
                    + "'tiers':['pool'],'skus':['m'],'dcs':['main'],"
                    + "'classes':["
                    + job("both", "read_like", 300, 9000, 1)
                    + ","
                    + job("x", "read_like", 300, 9000, 1)
                    + "],"
                    + "'specifics':{'tellsStart':true,'classKind':[-1,-1],'classStretch':[2,2]},"
                    + "'limits':{'cancel':false,'maxAttempts':2,'mayDuplicate':false,'mostHeld':100,'connIdleNs':20000000000,"
                    + "'connectTimeoutNs':15000000000,'maxRetryAfterNs':3000000000},"
                    + "'obligations':{'coldShare':0.2,'warmWithinNs':20000000000,'fallMultiple':4.0,'fallNs':2500000000},"
                    + "'tenants':[{'name':'t','quotaPerS':10}]}";

    private Path file;

    private static String job(String name, String effect, int aimMs, int deadlineMs, double worth) {
        return "{'name':'"
                + name
                + "','idempotency':'"
                + effect
                + "','group':'all','windowNs':5000000000,'onTimeNs':"
                + aimMs
                + "000000,'deadlineNs':"
                + deadlineMs
                + "000000,'importance':"
                + worth
                + ",'lateShare':0.0}";
    }

    private void settings(String text) throws IOException {
        JsonObject json = Json.parse(Files.readString(file)).asObject();
        Files.writeString(
                file, json.set("settings", Json.parse(text.replace('\'', '"'))).toString());
    }

    private void serve(String text) throws Exception {
        Map<String, String> environment =
                configuration(
                        workerEntry("w1", workerOne.address(), "ready"),
                        workerEntry("w2", workerTwo.address(), "ready"));
        file = Path.of(environment.get("ROUTER_CONFIG"));
        settings(text);
        daemon = new Daemon(Config.read(environment));
        daemon.start();
    }

    private Socket submitted(String id, String jobClass, String tenant) throws IOException {
        Socket s = connect();
        ScriptedPeer.write(
                s,
                "POST /api HTTP/1.1\r\nX-Request-Id: "
                        + id
                        + "\r\nX-Class: "
                        + jobClass
                        + "\r\nX-Tenant: "
                        + tenant
                        + "\r\nX-Deadline: 15000m\r\nContent-Length: 3\r\n\r\njob");
        return s;
    }

    /** The next job is taken by the worker that this returns. */
    private String taken() throws Exception {
        while (workerOne.hasNoMessage() && workerTwo.hasNoMessage()) {
            Thread.onSpinWait();
        }
        String at = workerOne.hasNoMessage() ? "w2" : "w1";
        (at.equals("w1") ? workerOne : workerTwo).awaitMessage("POST").accept();
        return at;
    }

    private void ends(String id, String state) throws Exception {
        assertEquals(204, callBack(id, taken(), state));
    }

    private void served(String id, String jobClass, String tenant) throws Exception {
        Socket consumer = submitted(id, jobClass, tenant);
        ends(id, "done");
        assertEquals(jobClass, 200, ScriptedPeer.read(consumer).status());
    }

    private int refused(String id, String jobClass, String tenant) throws IOException {
        return ScriptedPeer.read(submitted(id, jobClass, tenant)).status();
    }

    private Socket failed(String id, String tenant) throws Exception {
        Socket consumer = submitted(id, "both", tenant);
        ends(id, "failed");
        return consumer;
    }

    @Test
    public void eachClassAndTenantOfOneWithManyIsServedAndNobodyElses() throws Exception {
        serve(MANY);
        int n = 0;
        for (String c : new String[] {"scan-2d", "label-4x6", "eta-15", "3pl-sync", "both", "z9"}) {
            for (String tenant : new String[] {"t-01", "8-ball"}) {
                served("m" + n++, c, tenant);
            }
        }
        assertEquals(400, refused("m90", "x", "t-01"));
        assertEquals(400, refused("m91", "z9", "only"));
    }

    @Test
    public void nothingOfTheFirstIsLeftOnceTheSecondsSettingsAreRead() throws Exception {
        serve(PLAIN);
        Socket again = failed("a0", "t");
        ends("a0", "done");
        assertEquals("it may be repeated", 200, ScriptedPeer.read(again).status());
        served("a1", "x", "t");
        Socket underWay = submitted("u", "x", "t");
        String at = taken();
        settings(MANY);
        daemon.reload();
        assertEquals("and by this answer it has been read", 200, readinessStatus());
        assertEquals("a class of the first alone", 400, refused("c0", "x", "t"));
        assertEquals(204, callBack("u", at, "done"));
        assertEquals("one that came before goes on", 200, ScriptedPeer.read(underWay).status());
        served("c1", "scan-2d", "t-01");
        served("c2", "both", "t");
        Socket once = failed("c3", "t");
        assertEquals(
                "what kept its name must not run twice now", 502, ScriptedPeer.read(once).status());
        assertTrue(workerOne.hasNoMessage() && workerTwo.hasNoMessage());
        settings(PLAIN);
        daemon.reload();
        assertEquals(200, readinessStatus());
        assertEquals(400, refused("d0", "scan-2d", "t"));
        assertEquals(400, refused("d1", "both", "8-ball"));
        served("d2", "x", "t");
    }
}
