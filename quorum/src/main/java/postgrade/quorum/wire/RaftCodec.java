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
    public static boolean isResponseToLeader(RaftMsg message) {
        return message.getKind() == APPEND_SUCCESS
                || message.getKind() == APPEND_FAILURE
                || message.getKind() == INSTALL_SNAPSHOT_RESPONSE;
    }

    /**
     * Whether this requests a vote or a pre-vote. Vote requests of a leadership transfer do not
     * count, as the old leader has agreed to them.
     */
    public static boolean isVoteRequest(RaftMsg message) {
        return message.getKind() == PRE_VOTE_REQUEST
                || message.getKind() == VOTE_REQUEST && message.getFlag();
    }

    /**
     * Whether this is a pre-vote request or response. Its term is the prospective one, which
     * neither side has entered.
     */
    public static boolean isPreVote(RaftMsg message) {
        return message.getKind() == PRE_VOTE_REQUEST || message.getKind() == PRE_VOTE_RESPONSE;
    }

    /** Whether this is a response to a vote or pre-vote request. */
    public static boolean isVoteResponse(RaftMsg message) {
        return message.getKind() == PRE_VOTE_RESPONSE || message.getKind() == VOTE_RESPONSE;
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

    public static RaftMsg encode(RaftMessage message, String to) {
        RaftMsg.Builder encoded =
                RaftMsg.newBuilder()
                        .setGroup(message.getGroupId().toString())
                        .setTo(to)
                        .setSender(message.getSender().getId().toString())
                        .setTerm(message.getTerm());
        if (message instanceof AppendEntriesRequest request) {
            encoded.setKind(APPEND_ENTRIES)
                    .setLogTerm(request.getPreviousLogTerm())
                    .setLogIndex(request.getPreviousLogIndex())
                    .setCommit(request.getCommitIndex())
                    .setQuery(request.getQuerySequenceNumber())
                    .setFlow(request.getFlowControlSequenceNumber());
            request.getLogEntries().forEach(e -> encoded.addEntries(LogCodec.entry(e)));
        } else if (message instanceof AppendEntriesSuccessResponse response) {
            encoded.setKind(APPEND_SUCCESS)
                    .setLogIndex(response.getLastLogIndex())
                    .setQuery(response.getQuerySequenceNumber())
                    .setFlow(response.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse response) {
            encoded.setKind(APPEND_FAILURE)
                    .setLogIndex(response.getExpectedNextIndex())
                    .setQuery(response.getQuerySequenceNumber())
                    .setFlow(response.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest request) {
            encoded.setKind(INSTALL_SNAPSHOT)
                    .setFlag(request.isSenderLeader())
                    .setLogTerm(request.getSnapshotTerm())
                    .setLogIndex(request.getSnapshotIndex())
                    .setChunkCount(request.getTotalSnapshotChunkCount())
                    .addAllHolders(LogCodec.ids(request.getSnapshottedMembers()))
                    .setMembers(LogCodec.members(request.getGroupMembersView()))
                    .setQuery(request.getQuerySequenceNumber())
                    .setFlow(request.getFlowControlSequenceNumber());
            if (request.getSnapshotChunk() != null) {
                encoded.setChunk(LogCodec.chunk(request.getSnapshotChunk()));
            }
        } else if (message instanceof InstallSnapshotResponse response) {
            encoded.setKind(INSTALL_SNAPSHOT_RESPONSE)
                    .setLogIndex(response.getSnapshotIndex())
                    .setChunkNumber(response.getRequestedSnapshotChunkIndex())
                    .setQuery(response.getQuerySequenceNumber())
                    .setFlow(response.getFlowControlSequenceNumber());
        } else if (message instanceof PreVoteRequest request) {
            encoded.setKind(PRE_VOTE_REQUEST)
                    .setLogTerm(request.getLastLogTerm())
                    .setLogIndex(request.getLastLogIndex());
        } else if (message instanceof PreVoteResponse response) {
            encoded.setKind(PRE_VOTE_RESPONSE).setFlag(response.isGranted());
        } else if (message instanceof VoteRequest request) {
            encoded.setKind(VOTE_REQUEST)
                    .setLogTerm(request.getLastLogTerm())
                    .setLogIndex(request.getLastLogIndex())
                    .setFlag(request.isSticky());
        } else if (message instanceof VoteResponse response) {
            encoded.setKind(VOTE_RESPONSE).setFlag(response.isGranted());
        } else if (message instanceof TriggerLeaderElectionRequest request) {
            encoded.setKind(TRIGGER_ELECTION)
                    .setLogTerm(request.getLastLogTerm())
                    .setLogIndex(request.getLastLogIndex());
        } else {
            throw new IllegalArgumentException("no such message: " + message);
        }
        return encoded.build();
    }

    public static RaftMessage decode(RaftMsg message) {
        String group = message.getGroup();
        RaftEndpoint sender = Endpoint.of(message.getSender());
        int term = message.getTerm();
        return switch (message.getKind()) {
            case APPEND_ENTRIES ->
                    MODEL.createAppendEntriesRequestBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setPreviousLogTerm(message.getLogTerm())
                            .setPreviousLogIndex(message.getLogIndex())
                            .setCommitIndex(message.getCommit())
                            .setLogEntries(
                                    message.getEntriesList().stream().map(LogCodec::entry).toList())
                            .setQuerySequenceNumber(message.getQuery())
                            .setFlowControlSequenceNumber(message.getFlow())
                            .build();
            case APPEND_SUCCESS ->
                    MODEL.createAppendEntriesSuccessResponseBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogIndex(message.getLogIndex())
                            .setQuerySequenceNumber(message.getQuery())
                            .setFlowControlSequenceNumber(message.getFlow())
                            .build();
            case APPEND_FAILURE ->
                    MODEL.createAppendEntriesFailureResponseBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setExpectedNextIndex(message.getLogIndex())
                            .setQuerySequenceNumber(message.getQuery())
                            .setFlowControlSequenceNumber(message.getFlow())
                            .build();
            case INSTALL_SNAPSHOT ->
                    MODEL.createInstallSnapshotRequestBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setSenderLeader(message.getFlag())
                            .setSnapshotTerm(message.getLogTerm())
                            .setSnapshotIndex(message.getLogIndex())
                            .setTotalSnapshotChunkCount(message.getChunkCount())
                            .setSnapshotChunk(
                                    message.hasChunk() ? LogCodec.chunk(message.getChunk()) : null)
                            .setSnapshottedMembers(LogCodec.endpoints(message.getHoldersList()))
                            .setGroupMembersView(LogCodec.members(message.getMembers()))
                            .setQuerySequenceNumber(message.getQuery())
                            .setFlowControlSequenceNumber(message.getFlow())
                            .build();
            case INSTALL_SNAPSHOT_RESPONSE ->
                    MODEL.createInstallSnapshotResponseBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setSnapshotIndex(message.getLogIndex())
                            .setRequestedSnapshotChunkIndex(message.getChunkNumber())
                            .setQuerySequenceNumber(message.getQuery())
                            .setFlowControlSequenceNumber(message.getFlow())
                            .build();
            default -> decodeElection(message, group, sender, term);
        };
    }

    private static RaftMessage decodeElection(
            RaftMsg message, String group, RaftEndpoint sender, int term) {
        return switch (message.getKind()) {
            case PRE_VOTE_REQUEST ->
                    MODEL.createPreVoteRequestBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(message.getLogTerm())
                            .setLastLogIndex(message.getLogIndex())
                            .build();
            case PRE_VOTE_RESPONSE ->
                    MODEL.createPreVoteResponseBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setGranted(message.getFlag())
                            .build();
            case VOTE_REQUEST ->
                    MODEL.createVoteRequestBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(message.getLogTerm())
                            .setLastLogIndex(message.getLogIndex())
                            .setSticky(message.getFlag())
                            .build();
            case VOTE_RESPONSE ->
                    MODEL.createVoteResponseBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setGranted(message.getFlag())
                            .build();
            case TRIGGER_ELECTION ->
                    MODEL.createTriggerLeaderElectionRequestBuilder()
                            .setGroupId(group)
                            .setSender(sender)
                            .setTerm(term)
                            .setLastLogTerm(message.getLogTerm())
                            .setLastLogIndex(message.getLogIndex())
                            .build();
            default ->
                    throw new IllegalArgumentException(
                            "unknown kind of message: " + message.getKind());
        };
    }
}
