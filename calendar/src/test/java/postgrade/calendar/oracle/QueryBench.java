package postgrade.calendar.oracle;

import java.lang.management.ManagementFactory;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import postgrade.calendar.CalendarLoader;
import postgrade.window.SiteCalendar;
import postgrade.window.StartPlan;
import postgrade.window.StartWindows;

/**
 * Measures the time per query for a number of sites and rules per site: {@code QueryBench SITES
 * RULES QUERIES}.
 */
public final class QueryBench {

    private static final String[] ZONES = {
        "Europe/Zagreb", "America/New_York", "Australia/Lord_Howe", "Asia/Tokyo"
    };
    private static final long NOW = Instant.parse("2026-10-20T08:00:00Z").toEpochMilli();
    private static final long DAY = 86_400_000;

    private QueryBench() {}

    public static void main(String[] args) {
        int sites = Integer.parseInt(args[0]);
        int rules = Integer.parseInt(args[1]);
        int queries = Integer.parseInt(args[2]);
        Map<String, SiteCalendar> calendars = new HashMap<>();
        SplittableRandom random = new SplittableRandom(9);
        int bytes = 0;
        long began = cpu();
        int closures = 0;
        for (int s = 0; s < sites; s++) {
            String text = text(random, rules);
            bytes += text.length();
            SiteCalendar c = CalendarLoader.load("s" + s, "1", ZONES[s % ZONES.length], text, NOW);
            calendars.put(c.site(), c);
            closures += c.closed().size();
        }
        System.out.printf(
                "%d sites, %d rules each: read and worked out in %.1f ms of CPU a site, %,d bytes and "
                        + "%,d closed stretches a site over 101 days%n",
                sites, rules, (cpu() - began) / 1e6 / sites, bytes / sites, closures / sites);
        List<String> all = new ArrayList<>(calendars.keySet());
        for (int round = 0; round < 2; round++) {
            String when = round == 0 ? "first round" : "second round";
            time(
                    when + ", next opening over all sites",
                    queries,
                    random,
                    (at, p) -> StartWindows.nextOpening(p, calendars::get, at, 50),
                    all,
                    DAY / 4);
            time(
                    when + ", every start within 12 h, per site and together",
                    queries,
                    random,
                    (at, p) -> StartWindows.query(p, calendars::get, at, 50).anySite().size(),
                    all,
                    DAY / 2);
            time(
                    when + ", the same with every exclusion and its reason",
                    queries / 10,
                    random,
                    (at, p) -> StartWindows.query(p, calendars::get, at, 50).exclusions().size(),
                    all,
                    DAY / 2);
            time(
                    when + ", one worker's site",
                    queries,
                    random,
                    (at, p) -> StartWindows.mayStart(p, calendars.get("s7"), at, 50) ? 1 : 0,
                    all,
                    DAY / 4);
        }
    }

    private static long cpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private interface Query {
        long ask(long at, StartPlan plan);
    }

    private static void time(
            String name,
            int queries,
            SplittableRandom random,
            Query query,
            List<String> sites,
            long span) {
        long[] durationsNs = new long[queries];
        long sum = 0;
        for (int i = 0; i < queries; i++) {
            long at = NOW + random.nextLong(60 * DAY);
            StartPlan plan =
                    new StartPlan(at, at + span, 60_000 + random.nextInt(3_600_000), sites);
            long startNs = System.nanoTime();
            sum += query.ask(at, plan);
            durationsNs[i] = System.nanoTime() - startNs;
        }
        Arrays.sort(durationsNs);
        System.out.printf(
                "%-70s p50 %8.2f us  p99 %8.2f us  (%x)%n",
                name,
                durationsNs[queries / 2] / 1e3,
                durationsNs[queries * 99 / 100] / 1e3,
                sum & 0xffff);
    }

    /**
     * Returns daily, weekly and monthly maintenance of 10 to 120 minutes at any time of day, all
     * unbounded.
     */
    private static String text(SplittableRandom random, int rules) {
        StringBuilder text = new StringBuilder("BEGIN:VCALENDAR\r\nVERSION:2.0\r\n");
        String[] every = {
            "FREQ=WEEKLY;BYDAY=MO,TH",
            "FREQ=WEEKLY;INTERVAL=2",
            "FREQ=MONTHLY;BYDAY=2TU",
            "FREQ=MONTHLY;BYMONTHDAY=-1",
            "FREQ=DAILY;INTERVAL=3",
            "FREQ=YEARLY;BYMONTH=10;BYDAY=-1SU"
        };
        for (int i = 0; i < rules; i++) {
            text.append("BEGIN:VEVENT\r\nUID:u")
                    .append(i)
                    .append("\r\nSUMMARY:works ")
                    .append(i)
                    .append("\r\nDTSTART:2024")
                    .append(
                            String.format(
                                    "%02d%02dT%02d%02d00",
                                    1 + random.nextInt(12),
                                    1 + random.nextInt(28),
                                    random.nextInt(24),
                                    random.nextInt(60)))
                    .append("\r\nDURATION:PT")
                    .append(10 + random.nextInt(110))
                    .append("M\r\nRRULE:")
                    .append(every[i % every.length])
                    .append("\r\nEND:VEVENT\r\n");
        }
        return text.append("END:VCALENDAR\r\n").toString();
    }
}
