/**
 * Load plans: rate shapes, gap distributions, traffic streams and client behavior. A plan's arrivals are a pure
 * function of its file and seed; nothing here uses sockets, threads or the time of day.
 */
package spartrail.lab.plan;
