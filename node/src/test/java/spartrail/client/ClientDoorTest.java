package spartrail.client;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.DefaultByteBufferPool;
import java.io.File;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import spartrail.model.NodeClock;

class ClientDoorTest {
    private static int descriptors() {
        String[] open = new File("/proc/self/fd").list();
        return open == null ? 0 : open.length;
    }

    /** Danger: with part of a core the I/O thread is long in coming, and nobody turns out whom the others accept. */
    @Test
    void aCrowdTakesNoMoreDescriptorsThanItsShareWhileTheNodeIsBusy() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        ClientDoor door = new ClientDoor(worker, new DefaultByteBufferPool(true, 1024), new InetSocketAddress("127.0.0.1", 0),
                new NodeClock(), Set.of("orders"), 4, 16, new ClientDoor.Taker() {
                    @Override
                    public void asked(Ask ask, ClientRequest request) {
                    }

                    @Override
                    public void gone(ClientRequest request) {
                    }
                });
        CountDownLatch open = new CountDownLatch(1);
        CountDownLatch free = new CountDownLatch(1);
        worker.getIoThread().execute(() -> {
            door.open();
            open.countDown();
            try {
                free.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        open.await();
        int before = descriptors();
        List<Socket> crowd = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            crowd.add(new Socket(door.address().getAddress(), door.address().getPort()));
        }
        for (int looks = 0; looks < 50; looks++) {
            assertThat(descriptors() - before - crowd.size()).as("connections accepted").isLessThanOrEqualTo(24);
            TimeUnit.MILLISECONDS.sleep(10);
        }
        free.countDown();
        // Those that wait are accepted as room is made, the oldest that say nothing first.
        assertThat(crowd.get(0).getInputStream().read()).isEqualTo(-1);
        assertThat(crowd.get(150).getInputStream().read()).isEqualTo(-1);
        for (Socket socket : crowd) {
            socket.close();
        }
        worker.getIoThread().execute(door::close);
        worker.shutdown();
    }
}
