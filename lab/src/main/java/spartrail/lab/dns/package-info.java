/** An emulated name server with faults, for drills and measurements. It listens on loopback, on its own threads. */
package spartrail.lab.dns;
