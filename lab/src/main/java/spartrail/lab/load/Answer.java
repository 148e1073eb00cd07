package spartrail.lab.load;

/** A whole HTTP answer. */
public record Answer(int status, byte[] body, double comebackMs, boolean lasts, boolean lengthless) {}
