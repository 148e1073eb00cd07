package spartrail.front;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.Test;
import spartrail.config.DeploymentFile;
import spartrail.model.NodeClock;

class JvmWarmUpTest {
    /** A well-formed request of the warm-up would be sent on to the servers. */
    @Test
    void allWarmUpRequestsAreMalformed() throws Exception {
        Queue<String> queries = new ConcurrentLinkedQueue<>();
        HttpServer listener = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        listener.createContext("/", exchange -> {
            queries.add(exchange.getRequestURI() + " "
                    + new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8)
                            .replaceAll(",\"work.*", ""));
            exchange.getResponseHeaders().add("Connection", "close");
            exchange.sendResponseHeaders(400, -1);
            exchange.close();
        });
        listener.start();
        DeploymentFile deployment = DeploymentFile.read(Path.of("example/config.json"));
        new JvmWarmUp(new NodeClock(), deployment.knownEndpoints()).run(deployment, listener.getAddress());
        listener.stop(0);
        assertThat(queries)
                .isNotEmpty()
                .allMatch(request -> request.equals("/orders/rehearsal {\"segments\":[{\"segment\":0,\"boost\":0.25"));
    }

    @Test
    void aWarmUpWithoutServersAndWithoutAListenerEnds() throws Exception {
        String text = Files.readString(Path.of("example/config.json"))
                .replaceAll("\"targets\": \\[(?s).*?]}", "\"targets\": []}");
        NodeClock clock = new NodeClock();
        InetSocketAddress closedPort = new InetSocketAddress("127.0.0.1", 1);
        DeploymentFile deployment = DeploymentFile.parse(text);
        new JvmWarmUp(clock, deployment.knownEndpoints()).run(deployment, closedPort);
    }
}
