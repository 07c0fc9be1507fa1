package postgrade.http;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;

/** Tells which of a process's addresses could not be bound: the system's own message does not. */
public final class BindFailure {

    private BindFailure() {}

    /**
     * The same failure, with the address and what it is for.
     *
     * @param purpose of the address, in a word or a few
     */
    public static IOException of(String purpose, InetSocketAddress address, IOException cause) {
        String text =
                purpose
                        + " "
                        + address.getHostString()
                        + ":"
                        + address.getPort()
                        + ": "
                        + cause.getMessage();
        BindException withAddress = new BindException(text);
        withAddress.initCause(cause);
        return withAddress;
    }
}
