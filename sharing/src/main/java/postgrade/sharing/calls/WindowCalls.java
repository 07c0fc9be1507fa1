package postgrade.sharing.calls;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import postgrade.extension.Host;
import postgrade.operator.AdditionalEndpoints.Reply;
import postgrade.sharing.window.Opening;
import postgrade.window.Deadline;
import postgrade.window.Exclusion;
import postgrade.window.Intervals;
import postgrade.window.JobClassWindow;
import postgrade.window.StartPlan;
import postgrade.window.StartWindows;

/** When a job may start: by its class, or by a plan of its own. */
public final class WindowCalls {

    private static final Set<String> FIELDS =
            Set.of("class", "earliest", "deadline", "lastsMs", "sites", "requestId");

    /** Guards the answer's length; what comes later is asked for with a later earliest start. */
    private static final int MOST_TOLD = 200;

    private final Host host;
    private final Opening opening;
    private final Answers answers;

    private WindowCalls(Host host, Opening opening, Answers answers) {
        this.host = host;
        this.opening = opening;
        this.answers = answers;
    }

    public static void addTo(Calls calls, Host host, Opening opening) {
        calls.add("POST", "/windows", new WindowCalls(host, opening, calls.answers())::ask);
    }

    private void ask(byte[] body, Reply reply) {
        JsonObject object = Body.object(body);
        object.names().stream()
                .filter(f -> !FIELDS.contains(f))
                .findFirst()
                .ifPresent(
                        f -> {
                            throw new Body.Bad(f + " is not a field of a plan");
                        });
        long now = host.unixMillis().getAsLong();
        StartPlan plan = plan(object, now);
        if (plan == null) {
            answers.bad(reply, 404, "class " + Body.needed(object, "class") + " has no windows");
            return;
        }
        StartWindows.Result answer =
                StartWindows.query(
                        plan, opening.calendars(), now, opening.settings().clockErrorMillis());
        if (answer.bySite().isEmpty() && !answer.unknownSites().isEmpty()) {
            answers.notNow(
                    reply,
                    "sites: of none is the calendar known: "
                            + answer.unknownSites().get(0).detail(),
                    0);
            return;
        }
        JsonArray sites = Json.array();
        answer.bySite()
                .forEach(
                        s ->
                                sites.add(
                                        Json.object()
                                                .add("site", s.site())
                                                .add("version", s.version())
                                                .add("starts", intervals(s.starts()))));
        JsonArray exclusions = Json.array();
        answer.exclusions().stream().limit(MOST_TOLD).forEach(e -> exclusions.add(exclusion(e)));
        answers.done(
                reply,
                Json.object()
                        .add("mayStart", answer.mayStart(now))
                        .add("now", time(now))
                        .add("opens", time(answer.opensAt()))
                        .add("closes", time(answer.closesAt()))
                        .add("lastsMs", plan.durationMillis())
                        .add("together", intervals(answer.anySite()))
                        .add("sites", sites)
                        .add("exclusions", exclusions));
    }

    private StartPlan plan(JsonObject object, long now) {
        if (object.get("class") != null) {
            String name = Body.needed(object, "class");
            JobClassWindow c =
                    opening.settings().classes().stream()
                            .filter(w -> w.name().equals(name))
                            .findFirst()
                            .orElse(null);
            return c == null
                    ? null
                    : c.plan(
                            now,
                            lasts(
                                    object,
                                    Math.max(
                                            c.declaredMillis(),
                                            c.quantile() == 0
                                                    ? 0
                                                    : opening.learntMillis(name, c.quantile()))));
        }
        try {
            long earliest =
                    object.get("earliest") == null
                            ? now
                            : instant("earliest", object.get("earliest"));
            return new StartPlan(
                    earliest,
                    deadline(object.get("deadline")).resolveMillis(earliest),
                    lasts(object, -1),
                    sites(object.get("sites")));
        } catch (IllegalArgumentException e) {
            throw new Body.Bad(e.getMessage());
        }
    }

    private static long lasts(JsonObject object, long otherwise) {
        JsonValue v = object.get("lastsMs");
        if (v == null && otherwise >= 0) {
            return otherwise;
        }
        if (v == null || !v.isNumber() || v.asDouble() != Math.rint(v.asDouble())) {
            throw new Body.Bad(
                    "lastsMs " + (v == null ? "is missing" : "has to be a whole number"));
        }
        double lasts = v.asDouble();
        if (lasts < 0 || lasts > StartPlan.MAX_DURATION_MILLIS) {
            throw new Body.Bad("lastsMs must lie between 0 and " + StartPlan.MAX_DURATION_MILLIS);
        }
        return (long) lasts;
    }

    private static List<String> sites(JsonValue v) {
        if (v == null || !v.isArray() || v.asArray().isEmpty() || v.asArray().size() > MOST_TOLD) {
            throw new Body.Bad("sites has to be a list of 1 to " + MOST_TOLD + " names");
        }
        List<String> sites = new ArrayList<>();
        for (JsonValue site : v.asArray()) {
            if (!site.isString() || sites.contains(site.asString())) {
                throw new Body.Bad("sites has to be a list of names, each once");
            }
            sites.add(site.asString());
        }
        return sites;
    }

    private static Deadline deadline(JsonValue v) {
        if (v == null || v.isNull()) {
            return Deadline.NONE;
        }
        if (!v.isObject()) {
            return new Deadline.Fixed(instant("deadline", v));
        }
        JsonObject daily = v.asObject();
        try {
            return new Deadline.Daily(
                    LocalTime.parse(Body.needed(daily, "time")),
                    ZoneId.of(Body.needed(daily, "zone")).getRules());
        } catch (DateTimeException e) {
            throw new Body.Bad(
                    "deadline has to be a time such as 18:00 and a zone such as Europe/Zagreb: "
                            + e.getMessage());
        }
    }

    private static long instant(String field, JsonValue v) {
        try {
            if (v.isString()) {
                return Instant.parse(v.asString()).toEpochMilli();
            }
        } catch (DateTimeException | ArithmeticException e) {
            // Falls through to the one sentence.
        }
        throw new Body.Bad(field + " has to be an instant such as 2026-12-02T06:00:00Z");
    }

    private static JsonValue time(long millis) {
        return millis >= Long.MAX_VALUE / 8
                ? Json.NULL
                : Json.value(Instant.ofEpochMilli(millis).toString());
    }

    private static JsonArray intervals(Intervals all) {
        JsonArray array = Json.array();
        for (int i = 0; i < all.size() && i < MOST_TOLD; i++) {
            array.add(Json.array().add(time(all.from(i))).add(time(all.to(i))));
        }
        return array;
    }

    private static JsonObject exclusion(Exclusion e) {
        return Json.object()
                .add("from", time(e.from()))
                .add("to", time(e.to()))
                .add("site", e.site() == null ? Json.NULL : Json.value(e.site()))
                .add("reason", e.reason().name().toLowerCase(java.util.Locale.ROOT))
                .add("detail", e.detail());
    }
}
