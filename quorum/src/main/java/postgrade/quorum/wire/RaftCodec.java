package postgrade.quorum.wire;

import static postgrade.quorum.wire.LogCodec.MODEL;

import io.microraft.RaftEndpoint;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import postgrade.quorum.wire.proto.RaftMsg;

/** Encodes the messages of the consensus engine for the wire. */
public final class RaftCodec {

    private static final int APPEND_ENTRIES = 1;
    private static final int APPEND_SUCCESS = 2;
    private static final int APPEND_FAILURE = 3;
    private static final int INSTALL_SNAPSHOT = 4;
    private static final int INSTALL_SNAPSHOT_RESPONSE = 5;
    private static final int PRE_VOTE_REQUEST = 6;
    private static final int PRE_VOTE_RESPONSE = 7;
    private static final int VOTE_REQUEST = 8;
    private static final int VOTE_RESPONSE = 9;
    private static final int TRIGGER_ELECTION = 10;

    private RaftCodec() {}

    /** Whether this is a response to a leader's message. */
    public static boolean isResponseToLeader(RaftMsg m) {
        return m.getKind() == APPEND_SUCCESS
                || m.getKind() == APPEND_FAILURE
                || m.getKind() == INSTALL_SNAPSHOT_RESPONSE;
    }

    /**
     * Whether this requests a vote or a pre-vote. Vote requests of a leadership transfer do not
     * count, as the old leader has agreed to them.
     */
    public static boolean isVoteRequest(RaftMsg m) {
        return m.getKind() == PRE_VOTE_REQUEST || m.getKind() == VOTE_REQUEST && m.getFlag();
    }

    /**
     * Whether this is a pre-vote request or response. Its term is the prospective one, which
     * neither side has entered.
     */
    public static boolean isPreVote(RaftMsg m) {
        return m.getKind() == PRE_VOTE_REQUEST || m.getKind() == PRE_VOTE_RESPONSE;
    }

    /** Whether this is a response to a vote or pre-vote request. */
    public static boolean isVoteResponse(RaftMsg m) {
        return m.getKind() == PRE_VOTE_RESPONSE || m.getKind() == VOTE_RESPONSE;
    }

    /**
     * Builds the response that refuses a vote request.
     *
     * @param from the voter that refuses
     * @param term the term of that voter
     */
    public static RaftMsg refusal(RaftMsg request, String from, int term) {
        return RaftMsg.newBuilder()
                .setGroup(request.getGroup())
                .setTo(request.getSender())
                .setSender(from)
                .setTerm(term)
                .setKind(request.getKind() == PRE_VOTE_REQUEST ? PRE_VOTE_RESPONSE : VOTE_RESPONSE)
                .build();
    }

    public static RaftMsg encode(RaftMessage m, String to) {
        RaftMsg.Builder b =
                RaftMsg.newBuilder()
                        .setGroup(m.getGroupId().toString())
                        .setTo(to)
                        .setSender(m.getSender().getId().toString())
                        .setTerm(m.getTerm());
        if (m instanceof AppendEntriesRequest r) {
            b.setKind(APPEND_ENTRIES)
                    .setLogTerm(r.getPreviousLogTerm())
                    .setLogIndex(r.getPreviousLogIndex())
                    .setCommit(r.getCommitIndex())
                    .setQuery(r.getQuerySequenceNumber())
                    .setFlow(r.getFlowControlSequenceNumber());
            r.getLogEntries().forEach(e -> b.addEntries(LogCodec.entry(e)));
        } else if (m instanceof AppendEntriesSuccessResponse r) {
            b.setKind(APPEND_SUCCESS)
                    .setLogIndex(r.getLastLogIndex())
                    .setQuery(r.getQuerySequenceNumber())
                    .setFlow(r.getFlowControlSequenceNumber());
        } else if (m instanceof AppendEntriesFailureResponse r) {
            b.setKind(APPEND_FAILURE)
                    .setLogIndex(r.getExpectedNextIndex())
                    .setQuery(r.getQuerySequenceNumber())
                    .setFlow(r.getFlowControlSequenceNumber());
        } else if (m instanceof InstallSnapshotRequest r) {
            b.setKind(INSTALL_SNAPSHOT)
                    .setFlag(r.isSenderLeader())
                    .setLogTerm(r.getSnapshotTerm())
                    .setLogIndex(r.getSnapshotIndex())
                    .setChunkCount(r.getTotalSnapshotChunkCount())
                    .addAllHolders(LogCodec.ids(r.getSnapshottedMembers()))
                    .setMembers(LogCodec.members(r.getGroupMembersView()))
                    .setQuery(r.getQuerySequenceNumber())
                    .setFlow(r.getFlowControlSequenceNumber());
            if (r.getSnapshotChunk() != null) {
                b.setChunk(LogCodec.chunk(r.getSnapshotChunk()));
            }
        } else if (m instanceof InstallSnapshotResponse r) {
            b.setKind(INSTALL_SNAPSHOT_RESPONSE)
                    .setLogIndex(r.getSnapshotIndex())
                    .setChunkNumber(r.getRequestedSnapshotChunkIndex())
                    .setQuery(r.getQuerySequenceNumber())
                    .setFlow(r.getFlowControlSequenceNumber());
        } else if (m instanceof PreVoteRequest r) {
            b.setKind(PRE_VOTE_REQUEST)
                    .setLogTerm(r.getLastLogTerm())
                    .setLogIndex(r.getLastLogIndex());
        } else if (m instanceof PreVoteResponse r) {
            b.setKind(PRE_VOTE_RESPONSE).setFlag(r.isGranted());
        } else if (m instanceof VoteRequest r) {
            b.setKind(VOTE_REQUEST)
                    .setLogTerm(r.getLastLogTerm())
                    .setLogIndex(r.getLastLogIndex())
                    .setFlag(r.isSticky());
        } else if (m instanceof VoteResponse r) {
            b.setKind(VOTE_RESPONSE).setFlag(r.isGranted());
        } else if (m instanceof TriggerLeaderElectionRequest r) {
            b.setKind(TRIGGER_ELECTION)
                    .setLogTerm(r.getLastLogTerm())
                    .setLogIndex(r.getLastLogIndex());
        } else {
            throw new IllegalArgumentException("no such message: " + m);
        }
        return b.build();
    }

    public static RaftMessage decode(RaftMsg m) {
        String group = m.getGroup();
        RaftEndpoint sender = Endpoint.of(m.getSender());
        int term = m.getTerm();
        return switch (m.getKind()) {
            case APPEND_ENTRIES ->
                    MODEL.createAppendEntriesRequestBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setPreviousLogTerm(m.getLogTerm())
                            .setPreviousLogIndex(m.getLogIndex())
                            .setCommitIndex(m.getCommit())
                            .setLogEntries(
                                    m.getEntriesList().stream().map(LogCodec::entry).toList())
                            .setQuerySequenceNumber(m.getQuery())
                            .setFlowControlSequenceNumber(m.getFlow())
                            .build();
            case APPEND_SUCCESS ->
                    MODEL.createAppendEntriesSuccessResponseBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogIndex(m.getLogIndex())
                            .setQuerySequenceNumber(m.getQuery())
                            .setFlowControlSequenceNumber(m.getFlow())
                            .build();
            case APPEND_FAILURE ->
                    MODEL.createAppendEntriesFailureResponseBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setExpectedNextIndex(m.getLogIndex())
                            .setQuerySequenceNumber(m.getQuery())
                            .setFlowControlSequenceNumber(m.getFlow())
                            .build();
            case INSTALL_SNAPSHOT ->
                    MODEL.createInstallSnapshotRequestBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setSenderLeader(m.getFlag())
                            .setSnapshotTerm(m.getLogTerm())
                            .setSnapshotIndex(m.getLogIndex())
                            .setTotalSnapshotChunkCount(m.getChunkCount())
                            .setSnapshotChunk(m.hasChunk() ? LogCodec.chunk(m.getChunk()) : null)
                            .setSnapshottedMembers(LogCodec.endpoints(m.getHoldersList()))
                            .setGroupMembersView(LogCodec.members(m.getMembers()))
                            .setQuerySequenceNumber(m.getQuery())
                            .setFlowControlSequenceNumber(m.getFlow())
                            .build();
            case INSTALL_SNAPSHOT_RESPONSE ->
                    MODEL.createInstallSnapshotResponseBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setSnapshotIndex(m.getLogIndex())
                            .setRequestedSnapshotChunkIndex(m.getChunkNumber())
                            .setQuerySequenceNumber(m.getQuery())
                            .setFlowControlSequenceNumber(m.getFlow())
                            .build();
            default -> decodeElection(m, group, sender, term);
        };
    }

    private static RaftMessage decodeElection(
            RaftMsg m, String group, RaftEndpoint sender, int term) {
        return switch (m.getKind()) {
            case PRE_VOTE_REQUEST ->
                    MODEL.createPreVoteRequestBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(m.getLogTerm())
                            .setLastLogIndex(m.getLogIndex())
                            .build();
            case PRE_VOTE_RESPONSE ->
                    MODEL.createPreVoteResponseBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setGranted(m.getFlag())
                            .build();
            case VOTE_REQUEST ->
                    MODEL.createVoteRequestBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(m.getLogTerm())
                            .setLastLogIndex(m.getLogIndex())
                            .setSticky(m.getFlag())
                            .build();
            case VOTE_RESPONSE ->
                    MODEL.createVoteResponseBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setGranted(m.getFlag())
                            .build();
            case TRIGGER_ELECTION ->
                    MODEL.createTriggerLeaderElectionRequestBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(m.getLogTerm())
                            .setLastLogIndex(m.getLogIndex())
                            .build();
            default ->
                    throw new IllegalArgumentException("unknown kind of message: " + m.getKind());
        };
    }
}
