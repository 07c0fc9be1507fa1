package postgrade.worker;

import java.net.InetSocketAddress;

/** Where a provider listens, and whether it may be sent new work. */
public record WorkerEndpoint(String id, InetSocketAddress address, boolean ready) {}
