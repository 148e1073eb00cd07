package spartrail.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.config.DeploymentFile;
import spartrail.endpoint.sources.EndpointSourcesFile;
import spartrail.front.FrontNode;

/** Checks whether a node can start with a configuration, and with {@code --start} starts one. */
public final class CheckCommand implements Command {
    private static final int RESPONSE_TIMEOUT_MS = 10_000;

    @Argument(required = true, metaVar = "FILE")
    private Path config;

    @Option(
            name = "--start",
            usage = "start a node with this configuration on a free loopback port and send it a multiget")
    private boolean start;

    @Option(name = "--members", metaVar = "FILE", usage = "also check this members' file")
    private Path members;

    @Option(name = "--peers", metaVar = "FILE", usage = "also check this peers' file")
    private Path peers;

    @Override
    public int run(PrintStream out, PrintStream err) throws Exception {
        DeploymentFile deployment = DeploymentFile.read(config);
        if (members != null) {
            EndpointSourcesFile.read(members);
        }
        if (peers != null) {
            FrontNode.checkPeersFile(peers);
        }
        out.println("usable: node " + deployment.name() + " on " + deployment.listen() + ", op types "
                + deployment.opTypes().stream().map(op -> op.name).toList() + ", "
                + deployment.knownEndpoints().endpoints().size()
                + " servers known");
        if (start) {
            startAndQuery(deployment, out);
        }
        return 0;
    }

    private static void startAndQuery(DeploymentFile deployment, PrintStream out) throws Exception {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (FrontNode node = new FrontNode(deployment, anyPort)) {
            node.start();
            String opType = deployment.opTypes().get(0).name;
            String head = "POST /" + opType + "/check HTTP/1.1\r\nReq-Id: check\r\nReq-Kind: " + opType
                    + "\r\nReq-Deadline: 1\r\n";
            String body = "{\"segments\":[{\"segment\":0,\"boost\":1.0}],\"text\":\"check\"}";
            out.println("/up: " + requestStatusLine(node.address(), "GET /up HTTP/1.1\r\n", ""));
            out.println("a multiget: " + requestStatusLine(node.address(), head, body));
        }
    }

    /** Sends a request and returns the status line of its response, or "none". */
    private static String requestStatusLine(InetSocketAddress address, String head, String body) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
            String request =
                    head + "Host: check\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII)
                    .lines()
                    .findFirst()
                    .orElse("none");
        }
    }
}
