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
import postgrade.sharing.session.StateOpener;
import postgrade.sharing.settings.SharingSettingsFile;

/**
 * Creates the extension that joins a dispatcher to the shared state, for dispatchers that are
 * configured with a settings file for it.
 */
public final class SharingExtensionFactory implements DispatcherExtension.Factory {

    @Override
    public DispatcherExtension.Configuration read(Path file, String dispatcher) {
        SharingSettingsFile.Contents contents;
        try {
            contents = SharingSettingsFile.read(file, dispatcher);
        } catch (ScriptError e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        return host -> {
            ExecutorService blockingExecutor =
                    Executors.newSingleThreadExecutor(
                            task -> {
                                Thread thread = new Thread(task, "sharing-aside");
                                thread.setDaemon(true);
                                return thread;
                            });
            return new SharingExtension(
                    host, contents.sharing(), opener(contents.quorum()), blockingExecutor);
        };
    }

    private static StateOpener opener(QuorumSettings settings) {
        return new StateOpener() {
            @Override
            public ReplicatedState open(
                    List<StatePart> parts, LongSupplier nowMicros, Executor onLoop)
                    throws IOException {
                return Quorum.open(settings, parts, nowMicros, onLoop);
            }

            @Override
            public ReplicatedState openObserver(LongSupplier nowMicros, Executor onLoop)
                    throws IOException {
                return Quorum.openObserver(settings, nowMicros, onLoop);
            }
        };
    }
}
