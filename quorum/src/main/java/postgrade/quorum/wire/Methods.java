package postgrade.quorum.wire;

import com.google.protobuf.ExtensionRegistryLite;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import io.grpc.MethodDescriptor;
import io.grpc.MethodDescriptor.Marshaller;
import io.grpc.MethodDescriptor.MethodType;
import io.grpc.Status;
import java.io.IOException;
import java.io.InputStream;
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

/** The RPC methods between processes. */
public final class Methods {

    static final String SERVICE = "postgrade.Quorum";

    /** Limit for received messages; a snapshot is the largest one. */
    static final int MAX_MESSAGE_BYTES = 64 << 20;

    /** One-way stream of consensus messages; answers come on the peer's own stream. */
    static final MethodDescriptor<RaftMsg, None> RAFT =
            method("Raft", MethodType.CLIENT_STREAMING, RaftMsg.parser(), None.parser());

    public static final MethodDescriptor<PullRequest, PullReply> PULL =
            method("Pull", MethodType.UNARY, PullRequest.parser(), PullReply.parser());
    public static final MethodDescriptor<ReadRequest, ReadReply> READ =
            method("Read", MethodType.UNARY, ReadRequest.parser(), ReadReply.parser());
    public static final MethodDescriptor<AskRequest, AskReply> ASK =
            method("Ask", MethodType.UNARY, AskRequest.parser(), AskReply.parser());
    public static final MethodDescriptor<HelloRequest, HelloReply> HELLO =
            method("Hello", MethodType.UNARY, HelloRequest.parser(), HelloReply.parser());

    private Methods() {}

    private static <A extends MessageLite, B extends MessageLite> MethodDescriptor<A, B> method(
            String name, MethodType type, Parser<A> in, Parser<B> out) {
        return MethodDescriptor.<A, B>newBuilder()
                .setType(type)
                .setFullMethodName(MethodDescriptor.generateFullMethodName(SERVICE, name))
                .setRequestMarshaller(marshaller(in))
                .setResponseMarshaller(marshaller(out))
                .build();
    }

    private static <T extends MessageLite> Marshaller<T> marshaller(Parser<T> parser) {
        return new Marshaller<>() {
            @Override
            public InputStream stream(T value) {
                return new java.io.ByteArrayInputStream(value.toByteArray());
            }

            @Override
            public T parse(InputStream in) {
                try {
                    return parser.parseFrom(
                            in.readAllBytes(), ExtensionRegistryLite.getEmptyRegistry());
                } catch (InvalidProtocolBufferException e) {
                    throw Status.INVALID_ARGUMENT
                            .withDescription("not a message")
                            .withCause(e)
                            .asRuntimeException();
                } catch (IOException e) {
                    throw Status.INTERNAL.withCause(e).asRuntimeException();
                }
            }
        };
    }
}
