package postgrade.gateway;

/** What a consumer wants done, passed on to a provider unchanged. The content type may be null. */
public record Payload(String method, String target, String contentType, byte[] body) { }
