package spartrail.lab;

/** The lab's program. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        System.exit(2);
    }
}
