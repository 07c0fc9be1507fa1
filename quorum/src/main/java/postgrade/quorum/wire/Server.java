package postgrade.quorum.wire;

import io.grpc.ServerServiceDefinition;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioServerSocketChannel;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.ServerCalls;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import postgrade.quorum.settings.QuorumSettings.Voter;
import postgrade.quorum.wire.proto.AskReply;
import postgrade.quorum.wire.proto.AskRequest;
import postgrade.quorum.wire.proto.HelloReply;
import postgrade.quorum.wire.proto.HelloRequest;
import postgrade.quorum.wire.proto.None;
import postgrade.quorum.wire.proto.PullReply;
import postgrade.quorum.wire.proto.PullRequest;
import postgrade.quorum.wire.proto.RaftMsg;
import postgrade.quorum.wire.proto.ReadReply;
import postgrade.quorum.wire.proto.ReadRequest;

/**
 * Serves the RPC methods of a voter. Calls arrive on the transport's thread and must be handed on
 * at once.
 */
public final class Server {

    /**
     * Handles the requests that a voter receives; each {@code answer} is called once, on any
     * thread.
     */
    public interface RequestHandler {
        void raft(RaftMsg message);

        void pull(PullRequest request, Consumer<PullReply> answer);

        void read(ReadRequest request, Consumer<ReadReply> answer);

        void ask(AskRequest request, Consumer<AskReply> answer);

        void hello(HelloRequest request, Consumer<HelloReply> answer);
    }

    private interface Unary<A, B> {
        void call(A request, Consumer<B> answer);
    }

    private final io.grpc.Server server;

    public Server(Voter address, EventLoopGroup eventLoops, RequestHandler handler)
            throws IOException {
        ServerServiceDefinition service =
                ServerServiceDefinition.builder(Methods.SERVICE)
                        .addMethod(
                                Methods.RAFT,
                                ServerCalls.asyncClientStreamingCall(
                                        answer -> new RaftStream(handler, answer)))
                        .addMethod(Methods.PULL, unary(handler::pull))
                        .addMethod(Methods.READ, unary(handler::read))
                        .addMethod(Methods.ASK, unary(handler::ask))
                        .addMethod(Methods.HELLO, unary(handler::hello))
                        .build();
        server =
                NettyServerBuilder.forAddress(new InetSocketAddress(address.host(), address.port()))
                        .bossEventLoopGroup(eventLoops)
                        .workerEventLoopGroup(eventLoops)
                        .channelType(NioServerSocketChannel.class)
                        .directExecutor()
                        .maxInboundMessageSize(Methods.MAX_MESSAGE_BYTES)
                        .addService(service)
                        .build();
        server.start();
    }

    private static <A, B> io.grpc.ServerCallHandler<A, B> unary(Unary<A, B> handler) {
        return ServerCalls.asyncUnaryCall(
                (A request, StreamObserver<B> observer) -> {
                    ServerCallStreamObserver<B> answer = (ServerCallStreamObserver<B>) observer;
                    answer.setOnCancelHandler(
                            () -> {}); // A caller that stopped waiting is not an error.
                    handler.call(
                            request,
                            reply -> {
                                synchronized (answer) {
                                    if (!answer.isCancelled()) {
                                        answer.onNext(reply);
                                        answer.onCompleted();
                                    }
                                }
                            });
                });
    }

    private static final class RaftStream implements StreamObserver<RaftMsg> {
        private final RequestHandler handler;
        private final StreamObserver<None> answer;

        RaftStream(RequestHandler handler, StreamObserver<None> answer) {
            this.handler = handler;
            this.answer = answer;
            ((ServerCallStreamObserver<None>) answer).setOnCancelHandler(() -> {});
        }

        @Override
        public void onNext(RaftMsg message) {
            handler.raft(message);
        }

        @Override
        public void onError(Throwable t) {
            // The peer opens a new stream.
        }

        @Override
        public void onCompleted() {
            answer.onNext(None.getDefaultInstance());
            answer.onCompleted();
        }
    }

    public void close() {
        server.shutdownNow();
    }
}
