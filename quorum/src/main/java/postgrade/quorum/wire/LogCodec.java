package postgrade.quorum.wire;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import postgrade.quorum.wire.proto.Chunk;
import postgrade.quorum.wire.proto.Entry;
import postgrade.quorum.wire.proto.MemberChange;
import postgrade.quorum.wire.proto.Members;
import postgrade.shared.Command;
import postgrade.shared.ReplicatedStateMachine;

/** Encodes log entries and snapshots for the wire and the store. */
public final class LogCodec {

    /** The first entry of a leader's term: commits earlier entries and changes nothing. */
    public static final Object NEW_TERM =
            new Object() {
                @Override
                public String toString() {
                    return "new term";
                }
            };

    static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    private LogCodec() {}

    public static Entry entry(LogEntry entry) {
        Entry.Builder encoded =
                Entry.newBuilder().setIndex(entry.getIndex()).setTerm(entry.getTerm());
        Object operation = entry.getOperation();
        if (operation instanceof Command command) {
            encoded.setCommand(StateCodec.command(command));
        } else if (operation instanceof UpdateRaftGroupMembersOp membersOperation) {
            encoded.setChange(
                    MemberChange.newBuilder()
                            .addAllMembers(ids(membersOperation.getMembers()))
                            .addAllVoting(ids(membersOperation.getVotingMembers()))
                            .setEndpoint(membersOperation.getEndpoint().getId().toString())
                            .setMode(membersOperation.getMode().ordinal()));
        } else if (operation == NEW_TERM) {
            encoded.setNewTerm(true);
        } else {
            throw new IllegalArgumentException("no such entry: " + operation);
        }
        return encoded.build();
    }

    public static LogEntry entry(Entry message) {
        Object operation =
                switch (message.getOperationCase()) {
                    case COMMAND -> StateCodec.command(message.getCommand());
                    case CHANGE ->
                            MODEL.createUpdateRaftGroupMembersOpBuilder()
                                    .setMembers(endpoints(message.getChange().getMembersList()))
                                    .setVotingMembers(
                                            endpoints(message.getChange().getVotingList()))
                                    .setEndpoint(Endpoint.of(message.getChange().getEndpoint()))
                                    .setMode(
                                            MembershipChangeMode.values()[
                                                    message.getChange().getMode()])
                                    .build();
                    case NEW_TERM -> NEW_TERM;
                    case OPERATION_NOT_SET ->
                            throw new IllegalArgumentException("an entry without an operation");
                };
        return MODEL.createLogEntryBuilder()
                .setIndex(message.getIndex())
                .setTerm(message.getTerm())
                .setOperation(operation)
                .build();
    }

    public static Members members(RaftGroupMembersView members) {
        return Members.newBuilder()
                .setIndex(members.getLogIndex())
                .addAllMembers(ids(members.getMembers()))
                .addAllVoting(ids(members.getVotingMembers()))
                .build();
    }

    public static RaftGroupMembersView members(Members message) {
        return MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(message.getIndex())
                .setMembers(endpoints(message.getMembersList()))
                .setVotingMembers(endpoints(message.getVotingList()))
                .build();
    }

    public static Chunk chunk(SnapshotChunk chunk) {
        return Chunk.newBuilder()
                .setIndex(chunk.getIndex())
                .setTerm(chunk.getTerm())
                .setNumber(chunk.getSnapshotChunkIndex())
                .setCount(chunk.getSnapshotChunkCount())
                .setMembers(members(chunk.getGroupMembersView()))
                .setRows(
                        StateCodec.snapshot((ReplicatedStateMachine.Snapshot) chunk.getOperation()))
                .build();
    }

    public static SnapshotChunk chunk(Chunk message) {
        return MODEL.createSnapshotChunkBuilder()
                .setIndex(message.getIndex())
                .setTerm(message.getTerm())
                .setSnapshotChunkIndex(message.getNumber())
                .setSnapshotChunkCount(message.getCount())
                .setGroupMembersView(members(message.getMembers()))
                .setOperation(StateCodec.snapshot(message.getRows()))
                .build();
    }

    public static List<String> ids(Collection<RaftEndpoint> endpoints) {
        return endpoints.stream().map(e -> e.getId().toString()).toList();
    }

    public static List<RaftEndpoint> endpoints(Collection<String> ids) {
        List<RaftEndpoint> endpoints = new ArrayList<>();
        ids.forEach(id -> endpoints.add(Endpoint.of(id)));
        return endpoints;
    }
}
