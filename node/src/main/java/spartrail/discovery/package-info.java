/**
 * Fetches discovery's endpoint list over HTTP. Everything runs on one I/O thread, on which a listener receives lists
 * and failures. Nothing blocks, and no failure ends the service: while discovery is unavailable, the last list stays in
 * use.
 */
package spartrail.discovery;
