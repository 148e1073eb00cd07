/**
 * Load, open loop. {@link spartrail.lab.load.Generator} decides without I/O what is sent when and what each answer
 * counts as; {@link spartrail.lab.load.HttpSockets} carries it out on sockets, {@link spartrail.lab.load.VirtualSockets}
 * on a virtual clock. All of one generator runs on one thread.
 */
package spartrail.lab.load;
