package postgrade.worker;

import java.net.InetSocketAddress;

/** A worker's address, and whether it may be sent new work. */
public record WorkerEndpoint(String id, InetSocketAddress address, boolean ready) {}
