/**
 * Emulators of the services around a front node, on loopback addresses: index servers, discovery, a load balancer, and
 * front nodes with scripted answers. {@link spartrail.lab.fleet.ServerModel} is the load model of a server, without
 * I/O; the other classes implement the protocols. One thread runs a whole fleet.
 */
package spartrail.lab.fleet;
