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
import postgrade.shared.Machine;
import postgrade.shared.Moment;
import postgrade.shared.Row;
import postgrade.shared.Rows.Change;

/** Encodes the shared state for the wire and the store. */
public final class StateCodec {

    private StateCodec() {}

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
        List<ChangeMsg> messages = new ArrayList<>(changes.size());
        changes.forEach(c -> messages.add(change(c)));
        return messages;
    }

    public static ChangeMsg change(Change c) {
        ChangeMsg.Builder b =
                ChangeMsg.newBuilder().setIndex(c.index()).setPart(c.part()).setKey(c.key());
        return c.row() == null ? b.setRemoved(true).build() : b.setRow(row(c.row())).build();
    }

    public static List<Change> parseChanges(List<ChangeMsg> messages) {
        List<Change> parsed = new ArrayList<>(messages.size());
        for (ChangeMsg m : messages) {
            parsed.add(
                    new Change(
                            m.getIndex(),
                            m.getPart(),
                            m.getKey(),
                            m.getRemoved() ? null : row(m.getRow())));
        }
        return parsed;
    }

    public static SnapshotMsg snapshot(Machine.Snapshot s) {
        return SnapshotMsg.newBuilder()
                .setMoment(moment(s.moment()))
                .addAllRows(changes(s.rows()))
                .build();
    }

    public static Machine.Snapshot snapshot(SnapshotMsg m) {
        return new Machine.Snapshot(moment(m.getMoment()), parseChanges(m.getRowsList()));
    }
}
