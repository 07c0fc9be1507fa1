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

/** Encodes the shared state for the wire and the store. */
public final class StateCodec {

    private StateCodec() {}

    public static RowMsg row(Row row) {
        return RowMsg.newBuilder().putAllValues(row.values()).build();
    }

    public static Row row(RowMsg message) {
        return new Row(message.getValuesMap());
    }

    public static CommandMsg command(Command command) {
        return CommandMsg.newBuilder()
                .setRequestId(command.requestId())
                .setFrom(command.from())
                .setIncarnation(command.incarnation())
                .setPart(command.part())
                .setVerb(command.verb())
                .setArgs(row(command.args()))
                .build();
    }

    public static Command command(CommandMsg message) {
        return new Command(
                message.getRequestId(),
                message.getFrom(),
                message.getIncarnation(),
                message.getPart(),
                message.getVerb(),
                row(message.getArgs()));
    }

    public static AnswerMsg answer(Answer answer) {
        return AnswerMsg.newBuilder()
                .setStatus(answer.status().ordinal())
                .setText(answer.text())
                .setFields(row(answer.fields()))
                .build();
    }

    public static Answer answer(AnswerMsg message) {
        return new Answer(
                Answer.Status.values()[message.getStatus()],
                message.getText(),
                row(message.getFields()));
    }

    public static MomentMsg moment(Moment moment) {
        return MomentMsg.newBuilder()
                .setEra(moment.era())
                .setIndex(moment.index())
                .setMicros(moment.micros())
                .build();
    }

    public static Moment moment(MomentMsg message) {
        return new Moment(message.getEra(), message.getIndex(), message.getMicros());
    }

    public static List<ChangeMsg> changes(Collection<Change> changes) {
        List<ChangeMsg> messages = new ArrayList<>(changes.size());
        changes.forEach(c -> messages.add(change(c)));
        return messages;
    }

    public static ChangeMsg change(Change change) {
        ChangeMsg.Builder encoded =
                ChangeMsg.newBuilder()
                        .setIndex(change.index())
                        .setPart(change.part())
                        .setKey(change.key());
        return change.row() == null
                ? encoded.setRemoved(true).build()
                : encoded.setRow(row(change.row())).build();
    }

    public static List<Change> parseChanges(List<ChangeMsg> messages) {
        List<Change> parsed = new ArrayList<>(messages.size());
        for (ChangeMsg message : messages) {
            parsed.add(
                    new Change(
                            message.getIndex(),
                            message.getPart(),
                            message.getKey(),
                            message.getRemoved() ? null : row(message.getRow())));
        }
        return parsed;
    }

    public static SnapshotMsg snapshot(ReplicatedStateMachine.Snapshot snapshot) {
        return SnapshotMsg.newBuilder()
                .setMoment(moment(snapshot.moment()))
                .addAllRows(changes(snapshot.rows()))
                .build();
    }

    public static ReplicatedStateMachine.Snapshot snapshot(SnapshotMsg message) {
        return new ReplicatedStateMachine.Snapshot(
                moment(message.getMoment()), parseChanges(message.getRowsList()));
    }
}
