/**
 * Load, open loop. {@link spartrail.lab.load.LoadGenerator} decides without I/O what is sent when and what each answer
 * counts as; {@link spartrail.lab.load.HttpClientTransport} carries it out on sockets, {@link spartrail.lab.load.VirtualClientTransport}
 * on a virtual clock. All of one generator runs on one thread.
 */
package spartrail.lab.load;
