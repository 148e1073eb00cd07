/**
 * The lab's program. The lab exercises front nodes from outside or runs their decisions in simulation: emulators, load generator,
 * experiments, drills, simulation, capacity tests. Nothing here is on a serving node's class path.
 */
package spartrail.lab;
