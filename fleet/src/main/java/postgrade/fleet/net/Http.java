package postgrade.fleet.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import postgrade.fleet.Clock;

/** Small pieces that the stand-ins share. */
final class Http {

    static final int MOST_BODY = 1 << 20;

    private Http() {}

    static FullHttpResponse response(int status, String body, String... headers) {
        FullHttpResponse r =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        for (int i = 0; i < headers.length; i += 2) {
            r.headers().set(headers[i], headers[i + 1]);
        }
        r.headers().setInt("Content-Length", r.content().readableBytes());
        return r;
    }

    /** Ends a connection with a reset. */
    static void reset(Channel c) {
        c.config().setOption(io.netty.channel.ChannelOption.SO_LINGER, 0);
        c.close();
    }

    /**
     * Notes when the first byte of a request came, ahead of the codec, which tells only when it is
     * whole.
     */
    static final class FirstByte extends ChannelInboundHandlerAdapter {
        private long micros;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
            if (micros == 0) {
                micros = Clock.micros();
            }
            super.channelRead(ctx, bytes);
        }

        /** When the request that has just come whole began. */
        long take() {
            long at = micros;
            micros = 0;
            return at;
        }
    }
}
