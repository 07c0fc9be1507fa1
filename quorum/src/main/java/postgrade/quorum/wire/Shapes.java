package postgrade.quorum.wire;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import postgrade.quorum.wire.proto.AnswerMsg;
import postgrade.quorum.wire.proto.ChangeMsg;
import postgrade.quorum.wire.proto.CommandMsg;
import postgrade.quorum.wire.proto.MomentMsg;
import postgrade.quorum.wire.proto.RowMsg;
import postgrade.quorum.wire.proto.SnapshotMsg;
import postgrade.shared.Answer;
import postgrade.shared.Command;
import postgrade.shared.Moment;
import postgrade.shared.ReplicatedStateMachine;
import postgrade.shared.Row;
import postgrade.shared.Rows.Change;

/** What the shared state is made of, as it goes over the wire and into the store. */
public final class Shapes {

    private Shapes() {}

    public static RowMsg row(Row row) {
        return RowMsg.newBuilder().putAllValues(row.values()).build();
    }

    public static Row row(RowMsg m) {
        return new Row(m.getValuesMap());
    }

    public static CommandMsg command(Command c) {
        return CommandMsg.newBuilder()
                .setRequestId(c.requestId())
                .setFrom(c.from())
                .setIncarnation(c.incarnation())
                .setPart(c.part())
                .setVerb(c.verb())
                .setArgs(row(c.args()))
                .build();
    }

    public static Command command(CommandMsg m) {
        return new Command(
                m.getRequestId(),
                m.getFrom(),
                m.getIncarnation(),
                m.getPart(),
                m.getVerb(),
                row(m.getArgs()));
    }

    public static AnswerMsg answer(Answer a) {
        return AnswerMsg.newBuilder()
                .setStatus(a.status().ordinal())
                .setText(a.text())
                .setFields(row(a.fields()))
                .build();
    }

    public static Answer answer(AnswerMsg m) {
        return new Answer(Answer.Status.values()[m.getStatus()], m.getText(), row(m.getFields()));
    }

    public static MomentMsg moment(Moment at) {
        return MomentMsg.newBuilder()
                .setEra(at.era())
                .setIndex(at.index())
                .setMicros(at.micros())
                .build();
    }

    public static Moment moment(MomentMsg m) {
        return new Moment(m.getEra(), m.getIndex(), m.getMicros());
    }

    public static List<ChangeMsg> changes(Collection<Change> changes) {
        List<ChangeMsg> told = new ArrayList<>(changes.size());
        changes.forEach(c -> told.add(change(c)));
        return told;
    }

    public static ChangeMsg change(Change c) {
        ChangeMsg.Builder b =
                ChangeMsg.newBuilder().setIndex(c.index()).setPart(c.part()).setKey(c.key());
        return c.row() == null ? b.setRemoved(true).build() : b.setRow(row(c.row())).build();
    }

    public static List<Change> told(List<ChangeMsg> changes) {
        List<Change> read = new ArrayList<>(changes.size());
        for (ChangeMsg m : changes) {
            read.add(
                    new Change(
                            m.getIndex(),
                            m.getPart(),
                            m.getKey(),
                            m.getRemoved() ? null : row(m.getRow())));
        }
        return read;
    }

    public static SnapshotMsg snapshot(ReplicatedStateMachine.Snapshot s) {
        return SnapshotMsg.newBuilder()
                .setMoment(moment(s.moment()))
                .addAllRows(changes(s.rows()))
                .build();
    }

    public static ReplicatedStateMachine.Snapshot snapshot(SnapshotMsg m) {
        return new ReplicatedStateMachine.Snapshot(moment(m.getMoment()), told(m.getRowsList()));
    }
}
