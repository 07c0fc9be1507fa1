package postgrade.http;

import java.io.IOException;

/**
 * No connection could be begun for want of something of this process or machine: a place in its
 * budget, a descriptor, a port, memory or a route. It says nothing of the peer.
 */
public final class NoSocketException extends IOException {

    private static final long serialVersionUID = 1L;

    NoSocketException(String message, Throwable cause) {
        super(message, cause);
    }
}
