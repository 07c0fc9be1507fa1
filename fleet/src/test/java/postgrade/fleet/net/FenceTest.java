package postgrade.fleet.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import postgrade.fleet.plan.FleetPlan;

/** What a stand-in worker with accelerators answers to grants, on the wire. */
class FenceTest {

    private static final String PLAN =
            """
            workers = [worker(1, "box", cores = 4, speed = 1, accelerators = 2)]
            classes = {"plan": work(400, sigma = 0, accelerated = True), "check": work(5)}
            """;

    @TempDir Path folder;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private String address;
    private int last;

    private HttpResponse<String> post(String jobClass, String fence) throws Exception {
        HttpRequest.Builder r =
                HttpRequest.newBuilder(URI.create("http://" + address + "/api/" + jobClass))
                        .header("X-Request-Id", "r" + ++last)
                        .POST(HttpRequest.BodyPublishers.ofString(""));
        return client.send(
                fence == null ? r.build() : r.header("X-Fence", fence).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void anEarlierGrantIsTurnedAwayUnstartedAndAFaultyOneIsNamed() throws Exception {
        try (Fleet fleet = new Fleet(FleetPlan.of("test", PLAN), folder, 1, 1)) {
            Matcher known =
                    Pattern.compile("\"addr\":\"([^\"]+)\"")
                            .matcher(Files.readString(fleet.configurationOf(0)));
            assertTrue(known.find());
            address = known.group(1);
            assertEquals(202, post("plan", "1=7").statusCode());
            HttpResponse<String> earlier = post("plan", "1=5");
            assertEquals(503, earlier.statusCode());
            assertEquals("1", earlier.headers().firstValue("X-Not-Run").orElse(""));
            assertEquals(202, post("plan", "2=5").statusCode());
            assertEquals(202, post("check", null).statusCode());
            HttpResponse<String> faulty = post("plan", "mask=5");
            assertEquals(400, faulty.statusCode());
            assertTrue(faulty.body().startsWith("X-Fence must be "));
            fleet.flush();
            assertTrue(Files.readString(folder.resolve("workers.ledger")).contains("by=fence"));
        }
    }
}
