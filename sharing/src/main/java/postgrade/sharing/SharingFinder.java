package postgrade.sharing;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.LongSupplier;
import postgrade.extension.DispatcherExtension;
import postgrade.quorum.Quorum;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.script.ScriptError;
import postgrade.shared.ReplicatedState;
import postgrade.shared.StatePart;
import postgrade.sharing.session.Opener;
import postgrade.sharing.settings.SharingSettingsFile;

/** Puts shared state beside a dispatcher that is told of a file for it. */
public final class SharingFinder implements DispatcherExtension.Factory {

    @Override
    public DispatcherExtension.Configuration read(Path file, String dispatcher) {
        SharingSettingsFile.Contents both;
        try {
            both = SharingSettingsFile.read(file, dispatcher);
        } catch (ScriptError e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        return host -> {
            ExecutorService aside =
                    Executors.newSingleThreadExecutor(
                            task -> {
                                Thread thread = new Thread(task, "sharing-aside");
                                thread.setDaemon(true);
                                return thread;
                            });
            return new Shared(host, both.sharing(), opener(both.quorum()), aside);
        };
    }

    private static Opener opener(QuorumSettings settings) {
        return new Opener() {
            @Override
            public ReplicatedState open(
                    List<StatePart> parts, LongSupplier nowMicros, Executor onLoop)
                    throws IOException {
                return Quorum.open(settings, parts, nowMicros, onLoop);
            }

            @Override
            public ReplicatedState beside(LongSupplier nowMicros, Executor onLoop)
                    throws IOException {
                return Quorum.openObserver(settings, nowMicros, onLoop);
            }
        };
    }
}
