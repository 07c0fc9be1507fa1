package postgrade.http;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** One HTTP request or response. Header names are kept in lower case. */
public final class Message {
    /** Set for a request; null in a response. */
    String method;

    String target;

    /** Set for a response; 0 in a request. */
    int status;

    /** The length of the head's texts, in characters. */
    int textLength;

    boolean http10;
    byte[] body = {};
    final List<String> names = new ArrayList<>(12);
    final List<String> values = new ArrayList<>(12);

    Message() {}

    public String method() {
        return method;
    }

    public String target() {
        return target;
    }

    public int status() {
        return status;
    }

    public byte[] body() {
        return body;
    }

    /** Returns the value of the first header of this name (in lower case), or null. */
    public String header(String name) {
        int at = names.indexOf(name);
        return at < 0 ? null : values.get(at);
    }

    /** Returns the number of headers of this name (in lower case). */
    public int headerCount(String name) {
        return Collections.frequency(names, name);
    }

    /** Whether the message declares the length of its body, even an empty one. */
    public boolean declaresLength() {
        return header("content-length") != null || header("transfer-encoding") != null;
    }

    /** Whether the comma-separated values of a header contain this token, ignoring case. */
    boolean hasToken(String name, String token) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equals(name)) {
                for (String part : values.get(i).split(",")) {
                    if (part.strip().equalsIgnoreCase(token)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** Whether the connection stays open after this message. */
    public boolean isKeepAlive() {
        return http10 ? hasToken("connection", "keep-alive") : !hasToken("connection", "close");
    }
}
