/**
 * The lab's program. The lab tests front nodes from outside, or runs their decision code in simulation. It contains
 * emulators, a load generator, experiments, drills, simulations and capacity tests. None of it is on the class path of
 * a serving node.
 */
package spartrail.lab;
