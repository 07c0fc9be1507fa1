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
import postgrade.shared.Machine;

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

    public static Entry entry(LogEntry e) {
        Entry.Builder b = Entry.newBuilder().setIndex(e.getIndex()).setTerm(e.getTerm());
        Object operation = e.getOperation();
        if (operation instanceof Command c) {
            b.setCommand(StateCodec.command(c));
        } else if (operation instanceof UpdateRaftGroupMembersOp op) {
            b.setChange(
                    MemberChange.newBuilder()
                            .addAllMembers(ids(op.getMembers()))
                            .addAllVoting(ids(op.getVotingMembers()))
                            .setEndpoint(op.getEndpoint().getId().toString())
                            .setMode(op.getMode().ordinal()));
        } else if (operation == NEW_TERM) {
            b.setNewTerm(true);
        } else {
            throw new IllegalArgumentException("no such entry: " + operation);
        }
        return b.build();
    }

    public static LogEntry entry(Entry m) {
        Object operation =
                switch (m.getOperationCase()) {
                    case COMMAND -> StateCodec.command(m.getCommand());
                    case CHANGE ->
                            MODEL.createUpdateRaftGroupMembersOpBuilder()
                                    .setMembers(endpoints(m.getChange().getMembersList()))
                                    .setVotingMembers(endpoints(m.getChange().getVotingList()))
                                    .setEndpoint(Endpoint.of(m.getChange().getEndpoint()))
                                    .setMode(MembershipChangeMode.values()[m.getChange().getMode()])
                                    .build();
                    case NEW_TERM -> NEW_TERM;
                    case OPERATION_NOT_SET ->
                            throw new IllegalArgumentException("an entry without an operation");
                };
        return MODEL.createLogEntryBuilder()
                .setIndex(m.getIndex())
                .setTerm(m.getTerm())
                .setOperation(operation)
                .build();
    }

    public static Members members(RaftGroupMembersView v) {
        return Members.newBuilder()
                .setIndex(v.getLogIndex())
                .addAllMembers(ids(v.getMembers()))
                .addAllVoting(ids(v.getVotingMembers()))
                .build();
    }

    public static RaftGroupMembersView members(Members m) {
        return MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(m.getIndex())
                .setMembers(endpoints(m.getMembersList()))
                .setVotingMembers(endpoints(m.getVotingList()))
                .build();
    }

    public static Chunk chunk(SnapshotChunk c) {
        return Chunk.newBuilder()
                .setIndex(c.getIndex())
                .setTerm(c.getTerm())
                .setNumber(c.getSnapshotChunkIndex())
                .setCount(c.getSnapshotChunkCount())
                .setMembers(members(c.getGroupMembersView()))
                .setRows(StateCodec.snapshot((Machine.Snapshot) c.getOperation()))
                .build();
    }

    public static SnapshotChunk chunk(Chunk m) {
        return MODEL.createSnapshotChunkBuilder()
                .setIndex(m.getIndex())
                .setTerm(m.getTerm())
                .setSnapshotChunkIndex(m.getNumber())
                .setSnapshotChunkCount(m.getCount())
                .setGroupMembersView(members(m.getMembers()))
                .setOperation(StateCodec.snapshot(m.getRows()))
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
