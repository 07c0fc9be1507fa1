package postgrade.simadapter;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Serves the simulator's protocol on standard input and output until the input ends. */
public final class SimulatorAdapter {

    private static final int READ_BYTES = 1 << 16;

    private SimulatorAdapter() {}

    /** Returns the exit code: 0 at the end of the input, 1 after a malformed line. */
    public static int serve(InputStream in, OutputStream out, Appendable err) throws IOException {
        StringBuilder reply = new StringBuilder(READ_BYTES);
        WireProtocol protocol = new WireProtocol(reply);
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), READ_BYTES);
        try {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (protocol.processLine(line)) {
                    out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
                    out.flush();
                    reply.setLength(0);
                }
            }
            return 0;
        } catch (WireProtocol.MalformedLineException | IllegalArgumentException e) {
            err.append("benchlink: ").append(e.getMessage()).append('\n');
            return 1;
        }
    }
}
