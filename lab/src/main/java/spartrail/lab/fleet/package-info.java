/**
 * Stand-ins for the parties round a front node, on loopback addresses: index servers, the roll that lists them, and
 * front nodes that answer by a script. What a server does with its load is {@link spartrail.lab.fleet.ServerModel},
 * without I/O; the rest speaks the protocols. One thread runs a whole fleet.
 */
package spartrail.lab.fleet;
