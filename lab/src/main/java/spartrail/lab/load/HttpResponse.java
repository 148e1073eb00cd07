package spartrail.lab.load;

/** A whole HTTP answer. */
public record HttpResponse(int status, byte[] body, double comebackMs, boolean lasts, boolean lengthless) {}
