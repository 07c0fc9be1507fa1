package postgrade.sharing.endpoints;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import postgrade.operator.AdditionalEndpoints;
import postgrade.shared.ReplicatedState;
import postgrade.shared.Row;

/** The operator endpoints of sharing, by path and method. */
public final class OperatorEndpoints implements AdditionalEndpoints {

    private static final int DEFAULT_MAX_BODY_BYTES = 64 << 10;

    /** Handles the calls of one method and path. */
    interface Handler {
        void handle(byte[] body, Reply reply);
    }

    private record Endpoint(Handler handler, int maxBodyBytes) {}

    private final Map<String, Map<String, Endpoint>> endpointsByPath = new LinkedHashMap<>();
    private final Responses responses;

    public OperatorEndpoints(ReplicatedState state, LongSupplier nowMicros) {
        responses = new Responses(state, nowMicros);
    }

    Responses responses() {
        return responses;
    }

    void add(String method, String path, Handler handler) {
        add(method, path, DEFAULT_MAX_BODY_BYTES, handler);
    }

    void add(String method, String path, int maxBodyBytes, Handler handler) {
        endpointsByPath
                .computeIfAbsent(path, p -> new LinkedHashMap<>())
                .put(method, new Endpoint(handler, maxBodyBytes));
    }

    @Override
    public Set<String> allowedMethods(String path) {
        return new TreeSet<>(endpointsByPath.getOrDefault(path, Map.of()).keySet());
    }

    @Override
    public int maxBodyBytes(String path) {
        return endpointsByPath.getOrDefault(path, Map.of()).values().stream()
                .mapToInt(Endpoint::maxBodyBytes)
                .max()
                .orElse(DEFAULT_MAX_BODY_BYTES);
    }

    @Override
    public int maxBodyBytes() {
        return endpointsByPath.keySet().stream()
                .mapToInt(this::maxBodyBytes)
                .max()
                .orElse(DEFAULT_MAX_BODY_BYTES);
    }

    @Override
    public void handle(String method, String path, byte[] body, Reply reply) {
        try {
            endpointsByPath.get(path).get(method).handler.handle(body, reply);
        } catch (RequestBody.InvalidRequestException | Row.InvalidFieldException e) {
            responses.error(reply, 400, e.getMessage());
        }
    }
}
