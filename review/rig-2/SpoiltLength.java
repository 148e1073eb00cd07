import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Now and then an answer of an index server arrives with a length that is too large; good answers follow behind it. */
public final class SpoiltLength {
    /** One answer of so many is spoilt, if other parts wait on its connection. */
    private static final int SPOILT_ONE_OF = 50;
    /** The length is too large by up to so many bytes, fewer than the next frame has; its rest begins no frame. */
    private static final int MAX_EXCESS = 40;

    private SpoiltLength() {}

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), SpoiltLength::run);
    }

    private static int run(Path folder, Record record) throws Exception {
        Deployment deployment = new Deployment(folder, record);
        Random random = new Random(7);
        AtomicInteger spoilt = new AtomicInteger();
        for (IndexServer server : deployment.servers) {
            server.plan = part -> {
                double workMs;
                int excess;
                synchronized (random) {
                    workMs = 10 + 30 * random.nextDouble();
                    excess = drawExcess(random);
                }
                deployment.workers.schedule(
                        () -> {
                            boolean spoils = excess != 0 && part.link().waitingParts() > 1;
                            spoilt.addAndGet(spoils ? 1 : 0);
                            part.link().answer(part.id(), "OK", server.value(part), spoils ? excess : 0);
                        },
                        (long) (1000 * workMs),
                        TimeUnit.MICROSECONDS);
            };
        }
        deployment.start();
        AtomicInteger wrong = new AtomicInteger();
        int[] shards = {0, 1};
        Traffic.Check check = (id, text, reply) -> {
            for (int shard : shards) {
                String right = "{\"segment\":" + shard + ",\"payload\":\"" + IndexServer.valueOf(id + "." + shard, text)
                        + "\"}";
                if (reply.status() == 200 && !reply.body().contains(right)) {
                    wrong.incrementAndGet();
                    record.add("client: %s was served a wrong value of shard %d: %s", id, shard, reply.body());
                }
            }
        };
        Traffic traffic = new Traffic(record, deployment.node, 16, Record.nowMs() + 20_000, 20, check, shards);
        boolean couldRun = traffic.endAndReport(record);
        record.say("%d answers were spoilt", spoilt.get());
        record.say("%d values were served that no index server made for the request", wrong.get());
        if (!couldRun) {
            return Rig.COULD_NOT_RUN;
        }
        return wrong.get() == 0 ? Rig.HELD : Rig.BROKEN;
    }

    /** By how many bytes the length of an answer is too large; mostly 0. */
    private static int drawExcess(Random random) {
        return Rig.TROUBLE && random.nextInt(SPOILT_ONE_OF) == 0 ? 1 + random.nextInt(MAX_EXCESS) : 0;
    }
}
