import java.io.IOException;
import java.nio.file.Path;

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Verdict {
    interface Case {
        /** Returns whether the rule held. */
        boolean run(Rig rig, boolean trouble) throws Exception;
    }

    private Verdict() {}

    static void of(String folder, Case test) throws IOException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        Rig rig = new Rig(Path.of(folder, "record.txt"));
        Thread close = new Thread(() -> closeQuietly(rig));
        Runtime.getRuntime().addShutdownHook(close);
        try {
            rig.log(trouble ? "with the disruption" : "without the disruption");
            status = test.run(rig, trouble) ? 0 : 1;
        } catch (Exception e) {
            rig.log("the case could not run: " + e);
            System.err.println("the case could not run: " + e);
        }
        String text = status == 0 ? "the rule held" : status == 1 ? "the rule was broken" : "no verdict";
        rig.log(text);
        System.out.println(text + "; see " + folder + "/record.txt");
        System.exit(status);
    }

    private static void closeQuietly(Rig rig) {
        try {
            rig.close();
        } catch (IOException e) {
            System.err.println("cannot clean up: " + e);
        }
    }

    static void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalStateException(what);
        }
    }
}
