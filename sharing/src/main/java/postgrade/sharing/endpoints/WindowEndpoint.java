package postgrade.sharing.endpoints;

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
import postgrade.sharing.window.DispatcherWindows;
import postgrade.window.Deadline;
import postgrade.window.Exclusion;
import postgrade.window.Intervals;
import postgrade.window.JobClassWindow;
import postgrade.window.StartPlan;
import postgrade.window.StartWindows;

/** Reports when a job may start, by its class or by a plan of its own. */
public final class WindowEndpoint {

    private static final Set<String> FIELDS =
            Set.of("class", "earliest", "deadline", "lastsMs", "sites", "requestId");

    /**
     * Limits the length of the answer; later entries can be queried with a later earliest start.
     */
    private static final int MAX_ENTRIES = 200;

    private final Host host;
    private final DispatcherWindows startWindows;
    private final Responses responses;

    private WindowEndpoint(Host host, DispatcherWindows startWindows, Responses responses) {
        this.host = host;
        this.startWindows = startWindows;
        this.responses = responses;
    }

    public static void addTo(
            OperatorEndpoints endpoints, Host host, DispatcherWindows startWindows) {
        endpoints.add(
                "POST",
                "/windows",
                new WindowEndpoint(host, startWindows, endpoints.responses())::query);
    }

    private void query(byte[] body, Reply reply) {
        JsonObject object = RequestBody.parse(body);
        object.names().stream()
                .filter(f -> !FIELDS.contains(f))
                .findFirst()
                .ifPresent(
                        f -> {
                            throw new RequestBody.InvalidRequestException(
                                    f + " is not a field of a plan");
                        });
        long now = host.unixMillis().getAsLong();
        StartPlan plan = plan(object, now);
        if (plan == null) {
            responses.error(
                    reply,
                    404,
                    "class " + RequestBody.requiredText(object, "class") + " has no windows");
            return;
        }
        StartWindows.Result answer =
                StartWindows.query(
                        plan,
                        startWindows.calendars(),
                        now,
                        startWindows.settings().clockErrorMillis());
        if (answer.bySite().isEmpty() && !answer.unknownSites().isEmpty()) {
            responses.unavailable(
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
        answer.exclusions().stream().limit(MAX_ENTRIES).forEach(e -> exclusions.add(exclusion(e)));
        responses.ok(
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
            String name = RequestBody.requiredText(object, "class");
            JobClassWindow windowClass =
                    startWindows.settings().classes().stream()
                            .filter(w -> w.name().equals(name))
                            .findFirst()
                            .orElse(null);
            return windowClass == null
                    ? null
                    : windowClass.plan(
                            now,
                            lasts(
                                    object,
                                    Math.max(
                                            windowClass.declaredMillis(),
                                            windowClass.quantile() == 0
                                                    ? 0
                                                    : startWindows.learntDurationMillis(
                                                            name, windowClass.quantile()))));
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
            throw new RequestBody.InvalidRequestException(e.getMessage());
        }
    }

    private static long lasts(JsonObject object, long defaultMillis) {
        JsonValue v = object.get("lastsMs");
        if (v == null && defaultMillis >= 0) {
            return defaultMillis;
        }
        if (v == null || !v.isNumber() || v.asDouble() != Math.rint(v.asDouble())) {
            throw new RequestBody.InvalidRequestException(
                    "lastsMs " + (v == null ? "is missing" : "has to be a whole number"));
        }
        double lasts = v.asDouble();
        if (lasts < 0 || lasts > StartPlan.MAX_DURATION_MILLIS) {
            throw new RequestBody.InvalidRequestException(
                    "lastsMs must lie between 0 and " + StartPlan.MAX_DURATION_MILLIS);
        }
        return (long) lasts;
    }

    private static List<String> sites(JsonValue v) {
        if (v == null
                || !v.isArray()
                || v.asArray().isEmpty()
                || v.asArray().size() > MAX_ENTRIES) {
            throw new RequestBody.InvalidRequestException(
                    "sites has to be a list of 1 to " + MAX_ENTRIES + " names");
        }
        List<String> sites = new ArrayList<>();
        for (JsonValue site : v.asArray()) {
            if (!site.isString() || sites.contains(site.asString())) {
                throw new RequestBody.InvalidRequestException(
                        "sites has to be a list of names, each once");
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
                    LocalTime.parse(RequestBody.requiredText(daily, "time")),
                    ZoneId.of(RequestBody.requiredText(daily, "zone")).getRules());
        } catch (DateTimeException e) {
            throw new RequestBody.InvalidRequestException(
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
            // Reported with the common message below.
        }
        throw new RequestBody.InvalidRequestException(
                field + " has to be an instant such as 2026-12-02T06:00:00Z");
    }

    private static JsonValue time(long millis) {
        return millis >= Long.MAX_VALUE / 8
                ? Json.NULL
                : Json.value(Instant.ofEpochMilli(millis).toString());
    }

    private static JsonArray intervals(Intervals intervals) {
        JsonArray array = Json.array();
        for (int i = 0; i < intervals.size() && i < MAX_ENTRIES; i++) {
            array.add(Json.array().add(time(intervals.from(i))).add(time(intervals.to(i))));
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
