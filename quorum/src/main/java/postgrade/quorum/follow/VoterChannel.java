package postgrade.quorum.follow;

import java.util.function.Consumer;
import postgrade.quorum.wire.Methods;
import postgrade.quorum.wire.Server;
import postgrade.quorum.wire.VoterConnections;
import postgrade.quorum.wire.proto.AskReply;
import postgrade.quorum.wire.proto.AskRequest;
import postgrade.quorum.wire.proto.PullReply;
import postgrade.quorum.wire.proto.PullRequest;

/**
 * A channel to a voter, remote or in this process. Callbacks get null if no answer came in time.
 */
interface VoterChannel {

    String voter();

    void pull(PullRequest request, long timeoutMillis, Consumer<PullReply> done);

    void ask(AskRequest request, long timeoutMillis, Consumer<AskReply> done);

    static VoterChannel remote(VoterConnections connections, String voter) {
        return new VoterChannel() {
            @Override
            public String voter() {
                return voter;
            }

            @Override
            public void pull(PullRequest request, long timeoutMillis, Consumer<PullReply> done) {
                connections.call(
                        voter,
                        Methods.PULL,
                        request,
                        timeoutMillis,
                        (reply, status) -> done.accept(reply));
            }

            @Override
            public void ask(AskRequest request, long timeoutMillis, Consumer<AskReply> done) {
                connections.call(
                        voter,
                        Methods.ASK,
                        request,
                        timeoutMillis,
                        (reply, status) -> done.accept(reply));
            }
        };
    }

    static VoterChannel local(String name, Server.RequestHandler handler) {
        return new VoterChannel() {
            @Override
            public String voter() {
                return name;
            }

            @Override
            public void pull(PullRequest request, long timeoutMillis, Consumer<PullReply> done) {
                handler.pull(request, done);
            }

            @Override
            public void ask(AskRequest request, long timeoutMillis, Consumer<AskReply> done) {
                handler.ask(request, done);
            }
        };
    }
}
