package postgrade.provider;

import java.net.InetSocketAddress;

/** Where a provider listens, and whether it may be sent new work. */
public record Target(String id, InetSocketAddress address, boolean ready) {}
