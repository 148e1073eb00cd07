package spartrail.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.LongFunction;

/** A client that writes requests on one connection without waiting for responses, and reads what comes. */
final class PipeliningClient implements AutoCloseable {
    private static final int REQUESTS_PER_WRITE = 100;
    private static final int READ_BYTES = 64 * 1024;

    private final Socket socket;

    /** Starts to send requests, each made from its number. */
    PipeliningClient(int port, LongFunction<String> request) throws IOException {
        socket = new Socket("127.0.0.1", port);
        startDaemon(() -> writeRequests(request));
        startDaemon(this::readResponses);
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "pipelining client");
        thread.setDaemon(true);
        thread.start();
    }

    private void writeRequests(LongFunction<String> request) {
        try {
            for (long number = 0; !socket.isClosed(); ) {
                StringBuilder text = new StringBuilder();
                for (int i = 0; i < REQUESTS_PER_WRITE; i++) {
                    text.append(request.apply(number++));
                }
                socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            close();
        }
    }

    private void readResponses() {
        try {
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[READ_BYTES];
            while (in.read(buffer) >= 0) {
                // Only the node's work for the responses matters.
            }
        } catch (IOException e) {
            close();
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
