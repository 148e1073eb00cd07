/**
 * Endpoints from DNS SRV records (RFC 2782), provided as a source that the service loader finds.
 * {@link spartrail.dns.Resolver} decides which queries to send to which server, and determines the targets. It does no
 * I/O; time and randomness are arguments. {@link spartrail.dns.DnsTransport} owns the sockets and the one thread on
 * which everything runs. dnsjava is used only to encode and decode messages.
 */
package spartrail.dns;
