package postgrade.discovery;

import java.net.InetSocketAddress;

/**
 * Formats and parses addresses as {@code address:port}, the form of the worker list and of the
 * configuration.
 */
public final class AddressFormat {

    private AddressFormat() {}

    /** Formats an address so that {@link #parse} reads it. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Parses an address.
     *
     * @throws IllegalArgumentException if the text is not of that form
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (RuntimeException cause) {
            throw new IllegalArgumentException("\"" + text + "\" is not address:port", cause);
        }
    }
}
