package review;

import java.nio.file.Path;

/** What the cases share: how they start, end and tell their verdict. */
abstract class Case {

    /** The settings of a small deployment, in the form of DEPLOY; the classes are the site's. */
    static final String SETTINGS =
            """
            {"balancers":1,"index":0,"zone":"hall-a","dcs":["hall-a"],"skus":["big-fast"],
             "tiers":["route-servers"],"tier":0,"discovery":"push","kindOfService":"jobs",
             "classes":[
              {"name":"basket-price","idempotency":"read_like","group":"all",
               "windowNs":5000000000,"onTimeNs":200000000,"deadlineNs":5000000000,
               "importance":1.0,"lateShare":0.0,"stream":false},
              {"name":"route-plan","idempotency":"read_like","group":"all",
               "windowNs":5000000000,"onTimeNs":750000000,"deadlineNs":10000000000,
               "importance":3.0,"lateShare":0.0,"stream":false},
              {"name":"order-confirm","idempotency":"non_idempotent","group":"all",
               "windowNs":5000000000,"onTimeNs":200000000,"deadlineNs":5000000000,
               "importance":8.0,"lateShare":0.0,"stream":false}],
             "tenants":[{"name":"kvart-market","quotaPerS":33.0,"share":0.6},
                        {"name":"zeleni-kos","quotaPerS":25.0,"share":0.4}],
             "limits":{"cancel":true,"connIdleNs":10000000000,"connectTimeoutNs":250000000,
                       "maxAttempts":4,"maxRetryAfterNs":2000000000,"mayDuplicate":false,
                       "mayProbe":true,"mostHeld":20000,"multiplex":1,"retryAfter":false},
             "obligations":{"answerSlackNs":16000000,"coldShare":0.14,"drainGraceNs":500000000,
                            "fallMultiple":3.0,"fallNs":2000000000,"warmWithinNs":23000000000},
             "specifics":{"classKind":"-1,-1,-1","classPriority":"0,0,1",
                          "classStretch":"2.5,2.0,2.0","progressNs":1000000000,
                          "queueOrder":"priority","tellsStart":true},
             "telemetry":{"fields":"","source":"silent"}}""";

    /** The descriptors of a dispatcher. */
    static final int SOCKETS = 1024;

    /** After this time the script gives up, well before its 120 s are over. */
    private static final long MOST_MILLIS = 112_000;

    final Path folder;
    final Path root;
    final Record record;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    Case(Path folder) {
        this.folder = folder;
        root = folder.getParent().getParent();
        record = new Record(folder.resolve("record.txt"));
        record.line("case", "with" + (trouble ? "" : "out") + " the disruption");
    }

    /** Plays the case. Returns what broke the rule, or null if it held. */
    abstract String play() throws Exception;

    /** Runs the case and ends the process: 0 the rule held, 1 it was broken, 2 it could not run. */
    static void run(Case played) {
        Peer.thread(
                "limit",
                () -> {
                    Peer.sleep(MOST_MILLIS);
                    played.end(2, "could not run: out of time");
                });
        try {
            String broken = played.play();
            played.end(broken == null ? 0 : 1, broken == null ? "the rule held" : "BROKEN: " + broken);
        } catch (Exception | AssertionError e) {
            e.printStackTrace();
            played.end(2, "could not run: " + e);
        }
    }

    private void end(int code, String verdict) {
        record.line("case", verdict);
        System.out.println(verdict);
        System.exit(code);
    }

    /** Ends the script with 2: something other than the rule went wrong. */
    static void require(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError(what);
        }
    }
}
