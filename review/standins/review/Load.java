package review;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that each submit jobs one after another, and what of theirs was lost. */
final class Load {

    /** What one client sends. */
    record Kind(String jobClass, String tenant, int deadlineMillis, int leaveMillis, int pauseMillis, String body) {}

    private final List<Thread> clients = new ArrayList<>();
    private final ConcurrentLinkedQueue<String> lost = new ConcurrentLinkedQueue<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger left = new AtomicInteger();
    private final AtomicInteger number = new AtomicInteger(0x1000);
    private final ConcurrentLinkedQueue<String> overdue = new ConcurrentLinkedQueue<>();
    private volatile boolean ended;
    private volatile boolean newConnections;

    /** Lets each request come on a new connection. */
    void useNewConnections() {
        newConnections = true;
    }

    /** Adds a client; clients do not keep step, as each begins a little after the one before. */
    void add(Kind kind, InetSocketAddress dispatcher, Record record) {
        int index = clients.size();
        clients.add(
                Peer.thread(
                        "client",
                        () -> {
                            Client client = new Client("client" + index, dispatcher, record);
                            Peer.sleep(37L * index);
                            while (!ended) {
                                submit(client, kind);
                                if (newConnections) {
                                    client.close();
                                }
                                Peer.sleep(kind.pauseMillis);
                            }
                            client.close();
                        }));
    }

    private void submit(Client client, Kind kind) {
        String id = String.format("9b1f03aa%08x", number.incrementAndGet());
        Client.End end =
                client.submit(
                        id, kind.jobClass, kind.tenant, kind.deadlineMillis, kind.leaveMillis, kind.body);
        if (end == Client.End.OVERDUE) {
            overdue.add(id);
        }
        switch (end) {
            case ANSWERED -> answered.incrementAndGet();
            case LEFT -> left.incrementAndGet();
            case CUT_OFF, OVERDUE -> lost.add(id + " (" + end + ")");
            default -> {}
        }
    }

    /** Ends the clients after the answers that they wait for. */
    void end() throws InterruptedException {
        ended = true;
        for (Thread client : clients) {
            client.join(12_000);
        }
    }

    List<String> lost() {
        return List.copyOf(lost);
    }

    /** Returns the requests whose connection stayed open and that got no answer in time. */
    List<String> overdue() {
        return List.copyOf(overdue);
    }

    String counts() {
        return answered + " answered, " + left + " left by their clients, " + lost.size() + " lost";
    }
}
