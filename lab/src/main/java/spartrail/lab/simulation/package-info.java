/**
 * Simulates many front nodes on a virtual clock and a virtual network, with faults from a seed or a script. The nodes
 * run the production classes; nothing here waits, sleeps or reads a clock. A component is simulated by implementing
 * {@link SimulatedNode}.
 */
package spartrail.lab.simulation;
