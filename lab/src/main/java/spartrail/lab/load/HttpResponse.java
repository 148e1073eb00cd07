package spartrail.lab.load;

/**
 * A complete HTTP answer.
 *
 * @param retryAfterMs the Retry-After of the answer; 0 if it has none
 * @param keepsAlive whether the connection may be reused
 * @param endedByClose whether the answer stated no length, so that only the end of the connection ended it
 */
public record HttpResponse(int status, byte[] body, double retryAfterMs, boolean keepsAlive, boolean endedByClose) {}
