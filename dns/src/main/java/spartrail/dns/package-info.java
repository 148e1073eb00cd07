/**
 * Servers from DNS SRV records (RFC 2782). {@link spartrail.dns.Resolver} says what to ask whom next and what the lists
 * now are, without I/O; time and chance are handed in. Messages are read and written by dnsjava; nothing else of it is used.
 */
package spartrail.dns;
