import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import javax.xml.parsers.DocumentBuilderFactory;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;

/**
 * Judges a run of the tests against KNOWN-RED.txt: passes over just the tests named there, which are run all the same, and
 * prints them. A line is {@code package.Class#method | command and seed | what was seen | #issue}. A line that names a
 * case of a review by its script, {@code review/1/run.sh}, is printed and passed over, as CI does not run it.
 *
 * <p>Started as {@code java .ci/KnownRed.java FILE} it looks at the file's form alone, with a further FOLDER at the reports
 * of surefire below it too. Exit code 1 where CI is to fail.
 */
final class KnownRed {

    private static final int MOST = 3;

    /** What was seen begins so for a test that fails now and then: it may pass, and is printed all the same. */
    private static final String INTERMITTENT = "intermittent:";

    private static final Pattern LINE =
            Pattern.compile("\\s*([\\w.$]+#\\w+|review/\\d+/run[.]sh)\\s*\\|\\s*([^|\\s][^|]*?)\\s*\\|\\s*([^|\\s][^|]*?)\\s*\\|\\s*#(\\d+)\\s*");

    /** What an entry says of its test. */
    private record Entry(String command, String seen, String issue) {
        boolean isIntermittent() {
            return seen.startsWith(INTERMITTENT);
        }

        @Override
        public String toString() {
            return seen + " (" + command + "; issue " + issue + ")";
        }
    }

    private enum Result { PASSED, FAILED, SKIPPED }

    private final List<String> faults = new ArrayList<>();
    private final Map<String, Entry> named = new LinkedHashMap<>();
    /** By class and name as reported; a test with parameters is reported for each of them. */
    private final Map<String, Result> reported = new LinkedHashMap<>();

    public static void main(String[] args) throws IOException {
        System.exit(judge(args));
    }

    static int judge(String... args) throws IOException {
        KnownRed k = new KnownRed();
        k.read(Files.readAllLines(Path.of(args[0])));
        if (args.length > 1 && k.faults.isEmpty()) {
            try (Stream<Path> files = Files.walk(Path.of(args[1]))) {
                files.filter(f -> f.getParent() != null && f.getParent().endsWith("surefire-reports")
                        && f.getFileName().toString().matches("TEST-.*[.]xml")).sorted().forEach(k::report);
            }
            k.judge();
        }
        k.faults.forEach(f -> System.out.println("KNOWN-RED: " + f));
        return k.faults.isEmpty() ? 0 : 1;
    }

    private void read(List<String> lines) {
        for (String line : lines) {
            Matcher m = LINE.matcher(line);
            if (m.matches()) {
                Entry entry = new Entry(m.group(2), m.group(3), m.group(4));
                if (named.put(m.group(1), entry) != null) {
                    faults.add("named twice: " + m.group(1));
                }
            } else if (!line.isBlank()) {
                faults.add("not of the form `package.Class#method | command and seed | what was seen | #issue`: " + line);
            }
        }
        if (lines.stream().map(LINE::matcher).filter(m -> m.matches() && m.group(1).contains("#")).count() > MOST) {
            faults.add("more than " + MOST + " lines");
        }
    }

    private void report(Path file) {
        try {
            NodeList cases = DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(file.toFile())
                    .getElementsByTagName("testcase");
            for (int i = 0; i < cases.getLength(); i++) {
                Element c = (Element) cases.item(i);
                Result result = has(c, "failure") || has(c, "error") ? Result.FAILED
                        : has(c, "skipped") ? Result.SKIPPED : Result.PASSED;
                reported.merge(c.getAttribute("classname") + "#" + c.getAttribute("name"), result,
                        (a, b) -> a == Result.FAILED ? a : b);
            }
        } catch (Exception e) {
            faults.add("a report that cannot be read: " + file + ": " + e);
        }
    }

    private static boolean has(Element testCase, String tag) {
        return testCase.getElementsByTagName(tag).getLength() > 0;
    }

    private void judge() {
        if (reported.isEmpty()) {
            faults.add("no test has been run");
        }
        reported.forEach((test, result) -> {
            if (result == Result.FAILED && !named.containsKey(method(test))) {
                faults.add("failed and not named: " + test);
            }
        });
        named.forEach((test, entry) -> {
            if (test.endsWith("/run.sh")) {
                System.out.println("KNOWN-RED: passed over: " + test + ": " + entry);
                return;
            }
            List<Result> results = reported.entrySet().stream().filter(e -> method(e.getKey()).equals(test))
                    .map(Map.Entry::getValue).toList();
            if (results.contains(Result.FAILED)) {
                System.out.println("KNOWN-RED: passed over: " + test + ": " + entry);
            } else if (results.contains(Result.PASSED) && entry.isIntermittent()) {
                System.out.println("KNOWN-RED: passed this time: " + test + ": " + entry);
            } else if (results.isEmpty()) {
                faults.add("there is no such test: " + test);
            } else {
                faults.add((results.contains(Result.PASSED) ? "passes, take its line out: " : "was not run: ") + test);
            }
        });
    }

    /** Without the parameters it was run with. */
    private static String method(String test) {
        return test.replaceFirst("[(\\[{ ].*", "");
    }
}
