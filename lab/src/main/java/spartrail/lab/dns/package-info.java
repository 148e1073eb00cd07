/** An emulated name server with faults, for drills and measurements; it listens on loopback, on threads of its own. */
package spartrail.lab.dns;
