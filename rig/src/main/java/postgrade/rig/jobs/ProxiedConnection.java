package postgrade.rig.jobs;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import postgrade.rig.proxy.SocketReset;

/** One connection through a {@link JobProxy}, with a thread for each direction. */
final class ProxiedConnection {

    private static final byte[] FULL = RawMessage.answer("503 Full", "X-Not-Run: 1");
    private static final byte[] ERROR = RawMessage.answer("500 Error");

    private static final int PEEK_TIMEOUT_MILLIS = 1;

    private final JobProxy proxy;
    private final Socket dispatcherSide;
    private final Socket workerSide;

    private record PendingExchange(RawMessage request, ExchangeFault fault) {}

    /** Exchanges whose answers are outstanding, in the order of their requests. */
    private final BlockingQueue<PendingExchange> pendingExchanges = new LinkedBlockingQueue<>();

    private final AtomicInteger openDirections = new AtomicInteger(2);

    ProxiedConnection(JobProxy proxy, Socket dispatcherSide, Socket workerSide) {
        this.proxy = proxy;
        this.dispatcherSide = dispatcherSide;
        this.workerSide = workerSide;
    }

    void start() {
        JobProxy.daemonThread("to " + proxy.worker, () -> run(this::passRequests)).start();
        JobProxy.daemonThread("from " + proxy.worker, () -> run(this::passAnswers)).start();
    }

    private interface MessageLoop {
        void pass() throws IOException, InterruptedException;
    }

    private void run(MessageLoop loop) {
        try {
            loop.pass();
        } catch (IOException e) {
            reset();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            reset();
        }
    }

    private void passRequests() throws IOException, InterruptedException {
        InputStream in = new BufferedInputStream(dispatcherSide.getInputStream());
        int number = 0;
        for (RawMessage request = RawMessage.read(in);
                request != null;
                request = RawMessage.read(in)) {
            ExchangeFault fault = proxy.selectFault(request, number);
            switch (fault.kind()) {
                case RESET_BEFORE_REQUEST -> {
                    proxy.faultInjected(fault);
                    reset();
                    return;
                }
                case RESET_IN_REQUEST -> {
                    proxy.faultInjected(fault);
                    workerSide.getOutputStream().write(half(request.bytes()));
                    reset();
                    return;
                }
                case LATE_REQUEST -> {
                    TimeUnit.MILLISECONDS.sleep(fault.delayMillis());
                    if (closedByDispatcher(in)) {
                        close();
                        return;
                    }
                    proxy.faultInjected(fault);
                }
                case OVERTAKEN -> {
                    boolean overtaken = request.isJob() && awaitCancellation(request, fault);
                    if (closedByDispatcher(in)) {
                        close();
                        return;
                    }
                    if (overtaken) {
                        proxy.faultInjected(fault);
                    }
                }
                case GATED_REQUEST -> {
                    if (awaitNextAttempt(request, fault)) {
                        proxy.faultInjected(fault);
                    }
                }
                case STALE_ANSWER -> {
                    if (number > 0) {
                        proxy.faultInjected(fault);
                        writeAnswer(FULL);
                    }
                }
                default -> {}
            }
            number++;
            pendingExchanges.add(new PendingExchange(request, fault));
            workerSide.getOutputStream().write(request.bytes());
            proxy.requestForwarded(request);
            if (fault.kind() == ExchangeFault.Kind.RESET_AFTER_REQUEST) {
                proxy.faultInjected(fault);
                reset();
                return;
            }
        }
        workerSide.shutdownOutput();
        directionEnded();
    }

    /**
     * Whether the dispatcher closed the connection while its request was held back. The dispatcher
     * has cancelled the job by that, so the worker must not receive it any more.
     */
    private boolean closedByDispatcher(InputStream fromDispatcher) throws IOException {
        fromDispatcher.mark(1);
        dispatcherSide.setSoTimeout(PEEK_TIMEOUT_MILLIS);
        try {
            return fromDispatcher.read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } finally {
            dispatcherSide.setSoTimeout(0);
            fromDispatcher.reset();
        }
    }

    private boolean awaitCancellation(RawMessage job, ExchangeFault fault)
            throws InterruptedException {
        return proxy.overtaking(job.subject()).awaitCancelled(fault.delayMillis());
    }

    private boolean awaitNextAttempt(RawMessage job, ExchangeFault fault)
            throws InterruptedException {
        return proxy.gates.awaitOpen(job.subject(), fault.delayMillis());
    }

    private void passAnswers() throws IOException, InterruptedException {
        InputStream in = new BufferedInputStream(workerSide.getInputStream());
        for (RawMessage answer = RawMessage.read(in);
                answer != null;
                answer = RawMessage.read(in)) {
            PendingExchange exchange = pendingExchanges.poll();
            if (exchange == null) {
                throw new IOException("the worker sent an answer without a pending request");
            }
            if (!passAnswer(answer.bytes(), exchange)) {
                return;
            }
            proxy.answerForwarded(exchange.request());
            if (exchange.request().isJob()) {
                proxy.gates.open(exchange.request().subject());
            }
        }
        dispatcherSide.shutdownOutput();
        directionEnded();
    }

    private void directionEnded() throws IOException {
        if (openDirections.decrementAndGet() == 0) {
            close();
        }
    }

    /** Forwards an answer; returns false if nothing more is to be forwarded. */
    private boolean passAnswer(byte[] answer, PendingExchange exchange)
            throws IOException, InterruptedException {
        ExchangeFault fault = exchange.fault();
        if (fault.affectsAnswer()) {
            proxy.faultInjected(fault);
        }
        switch (fault.kind()) {
            case RESET_BEFORE_ANSWER -> {
                resetDispatcherSide();
                return false;
            }
            case RESET_IN_ANSWER -> {
                writeAnswer(half(answer));
                resetDispatcherSide();
                return false;
            }
            case LOST_ANSWER -> {
                return true;
            }
            case OVERTAKEN -> {
                passOvertaken(answer, exchange);
                return true;
            }
            case LATE_ANSWER -> TimeUnit.MILLISECONDS.sleep(fault.delayMillis());
            default -> {}
        }
        writeAnswer(answer);
        switch (fault.kind()) {
            case SECOND_ANSWER_FULL -> writeLater(FULL, fault.delayMillis());
            case SECOND_ANSWER_ERROR -> writeLater(ERROR, fault.delayMillis());
            case SECOND_ANSWER_SAME -> writeLater(answer, fault.delayMillis());
            case RESET_AFTER_ANSWER -> schedule(this::reset, fault.delayMillis());
            default -> {}
        }
        return true;
    }

    private void passOvertaken(byte[] answer, PendingExchange exchange)
            throws IOException, InterruptedException {
        RawMessage request = exchange.request();
        OvertakingLatch overtaking = proxy.overtaking(request.subject());
        if (request.isJob()) {
            writeAnswer(answer);
            overtaking.answered();
        } else {
            overtaking.cancelled();
            overtaking.awaitAnswered(exchange.fault().delayMillis());
            writeAnswer(answer);
        }
    }

    private synchronized void writeAnswer(byte[] bytes) throws IOException {
        dispatcherSide.getOutputStream().write(bytes);
    }

    private void writeLater(byte[] bytes, long delayMillis) {
        schedule(
                () -> {
                    try {
                        writeAnswer(bytes);
                    } catch (IOException e) {
                        // The dispatcher may have closed the connection in the meantime.
                    }
                },
                delayMillis);
    }

    private void schedule(Runnable task, long delayMillis) {
        try {
            proxy.clock.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The run has ended.
        }
    }

    private static byte[] half(byte[] bytes) {
        return Arrays.copyOf(bytes, bytes.length / 2);
    }

    /**
     * Resets the dispatcher's side only: as the worker sees it, its answer was sent and the
     * connection is closed normally.
     */
    private void resetDispatcherSide() throws IOException {
        SocketReset.reset(dispatcherSide);
        workerSide.close();
        proxy.connectionEnded(this);
    }

    private void close() throws IOException {
        proxy.connectionEnded(this);
        dispatcherSide.close();
        workerSide.close();
    }

    /** Resets both sides. */
    void reset() {
        proxy.connectionEnded(this);
        SocketReset.reset(dispatcherSide);
        SocketReset.reset(workerSide);
    }
}
