package postgrade.sharing.calls;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import postgrade.operator.AdditionalEndpoints;
import postgrade.shared.ReplicatedState;
import postgrade.shared.Row;

/** Operators' calls of sharing, by path. */
public final class Calls implements AdditionalEndpoints {

    private static final int MOST_BODY = 64 << 10;

    /** One call, made in one way. */
    interface Take {
        void take(byte[] body, Reply reply);
    }

    private record Way(Take take, int mostBody) {}

    private final Map<String, Map<String, Way>> paths = new LinkedHashMap<>();
    private final Answers answers;

    public Calls(ReplicatedState sharing, LongSupplier nowMicros) {
        answers = new Answers(sharing, nowMicros);
    }

    Answers answers() {
        return answers;
    }

    void add(String method, String path, Take take) {
        add(method, path, MOST_BODY, take);
    }

    void add(String method, String path, int mostBody, Take take) {
        paths.computeIfAbsent(path, p -> new LinkedHashMap<>())
                .put(method, new Way(take, mostBody));
    }

    @Override
    public Set<String> allowedMethods(String path) {
        return new TreeSet<>(paths.getOrDefault(path, Map.of()).keySet());
    }

    @Override
    public int maxBodyBytes(String path) {
        return paths.getOrDefault(path, Map.of()).values().stream()
                .mapToInt(Way::mostBody)
                .max()
                .orElse(MOST_BODY);
    }

    @Override
    public int maxBodyBytes() {
        return paths.keySet().stream().mapToInt(this::maxBodyBytes).max().orElse(MOST_BODY);
    }

    @Override
    public void handle(String method, String path, byte[] body, Reply reply) {
        try {
            paths.get(path).get(method).take.take(body, reply);
        } catch (Body.Bad | Row.InvalidFieldException e) {
            answers.bad(reply, 400, e.getMessage());
        }
    }
}
