package postgrade.http;

import java.io.IOException;

/**
 * Thrown when no connection could be opened because this process or machine lacks a resource: a
 * place in the socket budget, a descriptor, a port, memory or a route. It says nothing about the
 * peer.
 */
public final class NoSocketException extends IOException {

    private static final long serialVersionUID = 1L;

    NoSocketException(String message, Throwable cause) {
        super(message, cause);
    }
}
