/**
 * Endpoints from DNS SRV records (RFC 2782), found as a source by the service loader. {@link spartrail.dns.Resolver} decides what to
 * ask whom next and what the targets are, without I/O: time and randomness are arguments. {@link spartrail.dns.DnsTransport} owns
 * the sockets and the one thread on which all of this runs. Messages are read and written by dnsjava; nothing else of it is used.
 */
package spartrail.dns;
