package postgrade.sharing.calls;

import com.eclipsesource.json.JsonObject;
import java.util.Map;
import java.util.concurrent.Executor;
import postgrade.calendar.CalendarLoader;
import postgrade.extension.Host;
import postgrade.operator.AdditionalEndpoints.Reply;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedState;
import postgrade.shared.Row;
import postgrade.window.CalendarPart;

/** Takes a site's maintenance calendar: checked whole, aside, before anybody else hears of it. */
public final class CalendarCalls {

    /**
     * A calendar of the greatest length, with the marks that JSON puts before ends of lines and
     * quotes.
     */
    private static final int MOST_BODY = 384 << 10;

    private static final java.util.Set<String> FIELDS =
            java.util.Set.of("site", "zone", "text", "inMs", "expects");

    private final Host host;
    private final ReplicatedState sharing;
    private final Answers answers;
    private final Executor aside;
    private boolean checking;

    private CalendarCalls(Host host, ReplicatedState sharing, Answers answers, Executor aside) {
        this.host = host;
        this.sharing = sharing;
        this.answers = answers;
        this.aside = aside;
    }

    /**
     * @param aside where a calendar is worked out, which may take a second
     */
    public static void addTo(Calls calls, Host host, ReplicatedState sharing, Executor aside) {
        CalendarCalls c = new CalendarCalls(host, sharing, calls.answers(), aside);
        calls.add("PUT", "/calendar", MOST_BODY, c::put);
    }

    private void put(byte[] body, Reply reply) {
        JsonObject object = Body.object(body);
        String requestId = Body.requestId(object);
        Map<String, String> fields = Body.fields(object);
        fields.keySet().stream()
                .filter(f -> !FIELDS.contains(f))
                .findFirst()
                .ifPresent(
                        f -> {
                            throw new Body.Bad(f + " is not a field of a calendar");
                        });
        String site = Body.needed(object, "site");
        String text = Body.needed(object, "text");
        if (text.isEmpty()) {
            decide(requestId, "drop", Row.of("site", site), reply);
            return;
        }
        String zone = Body.needed(object, "zone");
        Row args = Row.of("site", site, "zone", zone, "text", text);
        if (fields.containsKey("inMs")) {
            long most = CalendarPart.MAX_ACTIVATION_DELAY_MICROS / 1000;
            args = args.with("inMicros", new Row(fields).integer("inMs", 0, most) * 1000);
        }
        if (fields.containsKey("expects")) {
            args = args.with("expects", fields.get("expects"));
        }
        if (checking) {
            answers.notNow(reply, "another calendar is being checked", 1_000_000);
            return;
        }
        checking = true;
        Row asked = args;
        aside.execute(
                () -> {
                    String fault = fault(site, zone, text);
                    host.loopExecutor()
                            .execute(
                                    () -> {
                                        checking = false;
                                        if (fault == null) {
                                            decide(requestId, "put", asked, reply);
                                        } else {
                                            answers.bad(reply, 400, fault);
                                        }
                                    });
                });
    }

    private static String fault(String site, String zone, String text) {
        try {
            CalendarLoader.CheckResult r = CalendarLoader.check(site, zone, text);
            return r.ok()
                    ? null
                    : (r.line() == 0 ? "" : "text line " + r.line() + ": ") + r.message();
        } catch (RuntimeException | StackOverflowError e) {
            return "text cannot be read: " + e;
        }
    }

    private void decide(String requestId, String verb, Row args, Reply reply) {
        ReplicatedState.Standing us = sharing.standing();
        answers.decide(
                new Command(requestId, us.name(), us.incarnation(), CalendarPart.NAME, verb, args),
                reply);
    }
}
