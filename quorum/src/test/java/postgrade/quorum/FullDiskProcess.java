package postgrade.quorum;

import io.microraft.model.impl.DefaultRaftModelFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import postgrade.quorum.store.VoterStore;
import postgrade.quorum.wire.Endpoint;

/**
 * Main class of a process that is started by a shell with a limit on file sizes, in place of a full
 * disk. Writes entries until the store fails, then reopens the store and counts the entries in it.
 */
public final class FullDiskProcess {

    private FullDiskProcess() {}

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]);
        Endpoint self = new Endpoint("a", "1");
        VoterStore store =
                VoterStore.create(folder, new VoterStore.Metadata(self, "1-x", 1, List.of("a/1")));
        String[] failure = {"nothing"};
        store.onFailure(reason -> failure[0] = reason);
        var modelFactory = new DefaultRaftModelFactory();
        store.persistAndFlushLocalEndpoint(
                modelFactory
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(self)
                        .setVoting(true)
                        .build());
        store.persistAndFlushInitialGroupMembers(
                modelFactory
                        .createRaftGroupMembersViewBuilder()
                        .setLogIndex(0)
                        .setMembers(List.of(self))
                        .setVotingMembers(List.of(self))
                        .build());
        long flushed = 0;
        try {
            while (true) {
                store.persistLogEntries(
                        List.of(
                                modelFactory
                                        .createLogEntryBuilder()
                                        .setIndex(flushed + 1)
                                        .setTerm(1)
                                        .setOperation(
                                                Cluster.addCommand(
                                                        "r" + flushed,
                                                        "key-" + "x".repeat(2000),
                                                        1))
                                        .build()));
                store.flush();
                flushed++;
            }
        } catch (IOException e) {
            System.out.println("refused: " + failure[0].startsWith("the store cannot be written"));
        }
        try {
            store.flush();
            System.out.println("later flush: taken");
        } catch (IOException e) {
            System.out.println("later flush: refused");
        }
        store.close();
        VoterStore reopened = VoterStore.open(folder);
        long recovered = reopened.restore().getLogEntries().size();
        System.out.println(
                "some flushed: " + (flushed > 0) + ", lost: " + Math.max(0, flushed - recovered));
        reopened.close();
    }
}
