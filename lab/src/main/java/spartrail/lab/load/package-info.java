/**
 * Open-loop load generation. {@link spartrail.lab.load.LoadGenerator} decides without I/O what is sent at which time
 * and how each answer is classified. {@link spartrail.lab.load.HttpClientTransport} runs it on sockets,
 * {@link spartrail.lab.load.VirtualClientTransport} on a virtual clock. Each generator runs on one thread.
 */
package spartrail.lab.load;
