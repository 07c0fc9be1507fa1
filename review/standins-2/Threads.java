/** Daemon threads for the stand-ins; what ends a connection ends its thread alone. */
final class Threads {
    interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread run(String name, Task task) {
        Thread thread =
                new Thread(
                        null,
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // The peer has gone; the stand-in goes on with others.
                            }
                        },
                        name,
                        256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
