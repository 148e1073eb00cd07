import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in of the discovery agent: GET /discovery/hosts gives the whole list; with since and timeout_ms it is a watch,
 * answered with the entries that changed, or with none when the time is over.
 */
final class Agent implements AutoCloseable {
    private record Listed(Entry entry, long version) {}

    private final String name;
    private final Record record;
    private final ServerSocket socket;
    private final Map<String, Listed> entries = new LinkedHashMap<>();
    private final List<Socket> open = new ArrayList<>();
    private long version;
    /** The time that each answer takes beyond that for which the call asks to wait. */
    private volatile long answerDelayMs;
    /** While discovery is down, the agent takes calls and answers none. */
    private boolean silent;
    /** How often discovery has gone down: a call that was open then stays without an answer. */
    private int outages;

    Agent(String name, Record record) throws IOException {
        this.name = name;
        this.record = record;
        socket = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        Rig.thread("agent-" + name, this::accept);
    }

    int port() {
        return socket.getLocalPort();
    }

    /** Sets the version from which the next change counts on. */
    synchronized void startAt(long first) {
        version = first;
    }

    synchronized long put(Entry... changed) {
        version++;
        for (Entry entry : changed) {
            entries.put(entry.uid(), new Listed(entry, version));
            record.add("%s has version %d: %s %s boot %d", name, version, entry.uid(), entry.state(), entry.bootMs());
        }
        notifyAll();
        return version;
    }

    void setAnswerDelay(long ms) {
        answerDelayMs = ms;
        record.add("%s: each answer takes %d ms longer from now on", name, ms);
    }

    synchronized void setSilent(boolean isSilent) {
        silent = isSilent;
        outages += isSilent ? 1 : 0;
        record.add("%s: %s", name, isSilent ? "silent" : "answers again");
        notifyAll();
    }

    synchronized String listJson(boolean whole, long since) {
        StringBuilder json = new StringBuilder("{\"rev\":" + version + ",\"all\":" + whole + ",\"targets\":[");
        String separator = "";
        for (Listed listed : entries.values()) {
            boolean gone = listed.entry.state().equals("DELETED");
            if (whole ? !gone : listed.version > since) {
                json.append(separator).append(listed.entry.toJson());
                separator = ",";
            }
        }
        return json.append("]}").toString();
    }

    private void accept() {
        try {
            while (true) {
                Socket client = socket.accept();
                synchronized (this) {
                    open.add(client);
                }
                Rig.thread("agent-" + name + "-call", () -> serve(client));
            }
        } catch (IOException e) {
            // Closed at the end.
        }
    }

    private void serve(Socket client) {
        try (client) {
            client.setTcpNoDelay(true);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII));
            OutputStream out = client.getOutputStream();
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (!line.startsWith("GET ")) {
                    continue;
                }
                while (!in.readLine().isEmpty()) {
                    // The headers do not matter.
                }
                String body = answer(line.split(" ")[1]);
                if (body == null) {
                    // Not answered; the connection stays open until the caller closes it.
                    while (in.readLine() != null) {
                        // Nothing more is answered on it.
                    }
                    return;
                }
                String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                        + "\r\n\r\n";
                out.write((head + body).getBytes(StandardCharsets.US_ASCII));
                out.flush();
                record.add("%s wrote %s", name, body.length() > 300 ? body.substring(0, 300) : body);
            }
        } catch (IOException | InterruptedException | RuntimeException e) {
            record.add("%s: a call was closed by its caller", name);
        }
    }

    /** The body of the answer to a call; null if it gets none. */
    private String answer(String path) throws InterruptedException {
        record.add("%s was called: %s", name, path);
        String body;
        synchronized (this) {
            int calledIn = outages;
            if (path.contains("since=")) {
                long since = Long.parseLong(path.replaceAll(".*since=(\\d+).*", "$1"));
                long waitMs = Long.parseLong(path.replaceAll(".*timeout_ms=(\\d+).*", "$1"));
                double endMs = Record.nowMs() + waitMs;
                while (!silent && outages == calledIn && version <= since && Record.nowMs() < endMs) {
                    wait(Math.max(1, (long) (endMs - Record.nowMs())));
                }
                body = listJson(false, since);
            } else {
                body = listJson(true, 0);
            }
            if (silent || outages != calledIn) {
                return null;
            }
        }
        if (answerDelayMs > 0) {
            Thread.sleep(answerDelayMs);
        }
        return body;
    }

    /** Takes no new connection from now on. */
    void closeListener() throws IOException {
        socket.close();
        record.add("%s takes no new connection", name);
    }

    @Override
    public void close() throws IOException {
        socket.close();
        synchronized (this) {
            for (Socket client : open) {
                client.close();
            }
        }
    }
}
