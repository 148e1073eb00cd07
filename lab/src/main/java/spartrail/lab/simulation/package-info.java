/**
 * Many nodes' decisions on a virtual clock and a virtual network, with faults from a seed or a script. The very classes that
 * run in the node; nothing here waits, sleeps or reads a clock. A part of the program joins by one port, {@link Guest}.
 */
package spartrail.lab.simulation;
