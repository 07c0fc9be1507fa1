package postgrade.quorum.engine;

import io.grpc.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.settings.QuorumSettings.Voter;
import postgrade.quorum.wire.Methods;
import postgrade.quorum.wire.VoterConnections;
import postgrade.quorum.wire.proto.HelloReply;
import postgrade.quorum.wire.proto.HelloRequest;

/** Queries the other voters and derives faults from their replies. */
final class PeerStatus {

    private final QuorumSettings settings;
    private final VoterConnections connections;
    private final EngineThread thread;

    PeerStatus(QuorumSettings settings, VoterConnections connections, EngineThread thread) {
        this.settings = settings;
        this.connections = connections;
        this.thread = thread;
    }

    /**
     * Sends a hello to all other voters; {@code done} gets the replies once each has answered or
     * failed.
     */
    void sendHello(HelloRequest hello, long timeoutMillis, Consumer<PeerReplies> done) {
        List<Voter> others =
                settings.voters().stream()
                        .filter(voter -> !voter.name().equals(settings.name()))
                        .toList();
        Map<String, HelloReply> replies = new HashMap<>();
        Set<String> timedOut = new HashSet<>();
        PeerReplies peerReplies = new PeerReplies(replies, timedOut);
        int[] unanswered = {others.size()};
        if (others.isEmpty()) {
            thread.submit(() -> done.accept(peerReplies));
        }
        for (Voter voter : others) {
            connections.call(
                    voter.name(),
                    Methods.HELLO,
                    hello,
                    timeoutMillis,
                    (reply, status) ->
                            thread.submit(
                                    () -> {
                                        if (reply != null && reply.getName().equals(voter.name())) {
                                            replies.put(voter.name(), reply);
                                        } else if (status.getCode() != Status.Code.UNAVAILABLE) {
                                            timedOut.add(voter.name());
                                        }
                                        if (--unanswered[0] == 0) {
                                            done.accept(peerReplies);
                                        }
                                    }));
        }
    }

    /**
     * A reply from the latest era, preferring one that knows a leader; null if no voter has a
     * store.
     */
    static HelloReply latestEraReply(Map<String, HelloReply> replies) {
        HelloReply latest = null;
        for (HelloReply reply : replies.values()) {
            if (!reply.getGroup().isEmpty()
                    && (latest == null
                            || reply.getEra() > latest.getEra()
                            || reply.getEra() == latest.getEra()
                                    && latest.getLeader().isEmpty()
                                    && !reply.getLeader().isEmpty())) {
                latest = reply;
            }
        }
        return latest;
    }

    /** The name of a voter that keeps another log of the same era, or null. */
    static String voterInOtherGroup(Map<String, HelloReply> replies, long era, String group) {
        return replies.values().stream()
                .filter(
                        reply ->
                                reply.getEra() == era
                                        && !reply.getGroup().isEmpty()
                                        && !reply.getGroup().equals(group))
                .map(HelloReply::getName)
                .findFirst()
                .orElse(null);
    }

    /**
     * Whether the leader's member list, if newer than this voter's, no longer contains this
     * identity.
     */
    static boolean isRetired(Map<String, HelloReply> replies, RaftGroup group) {
        var committed = group.node.getCommittedMembers();
        return committed.getMembers().contains(group.metadata.self())
                && replies.values().stream()
                        .anyMatch(
                                reply ->
                                        reply.getLeads()
                                                && reply.getGroup().equals(group.metadata.group())
                                                && reply.getMembersIndex() > committed.getLogIndex()
                                                && !reply.getMembersList()
                                                        .contains(
                                                                group.metadata.self().toString()));
    }

    /** The fault reported to operators when no voter that answers has a store. */
    static String noStoreFault(QuorumSettings settings, Map<String, HelloReply> replies) {
        int unreachable = settings.voters().size() - 1 - replies.size();
        return "no store here, and none of the voters that answer has one ("
                + unreachable
                + " do not answer): "
                + "an era has to be begun";
    }

    /** The fault reported when there is no leader; null while it may just be an election. */
    static String lostQuorumFault(
            QuorumSettings settings, Map<String, HelloReply> replies, RaftGroup group) {
        List<String> missing = new ArrayList<>();
        List<String> present = new ArrayList<>();
        for (var member : group.node.getEffectiveMembers().getVotingMembers()) {
            postgrade.quorum.wire.Endpoint endpoint = postgrade.quorum.wire.Endpoint.of(member);
            HelloReply reply = replies.get(endpoint.name());
            if (endpoint.equals(group.metadata.self())
                    || reply != null && reply.getIdentity().equals(endpoint.identity())) {
                present.add(endpoint.name());
            } else {
                missing.add(
                        endpoint.name()
                                + (reply == null ? " does not answer" : " has lost its store"));
            }
        }
        int total = present.size() + missing.size();
        return present.size() > total / 2
                ? null
                : "no quorum: "
                        + present.size()
                        + " of "
                        + total
                        + " voters are there; "
                        + String.join(", ", missing);
    }
}
