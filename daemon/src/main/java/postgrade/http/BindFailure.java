package postgrade.http;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;

/**
 * Names the address that could not be bound, because the operating system's own message does not.
 */
public final class BindFailure {

    private BindFailure() {}

    /**
     * Returns the same failure, with the address and its purpose.
     *
     * @param purpose the purpose of the address, in a few words
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
