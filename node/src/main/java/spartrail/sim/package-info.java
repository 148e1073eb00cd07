/**
 * The adapter for the simulator: one process runs many instances of the coordinator behind a line protocol on standard
 * input and output. Each input line is a batch of events, each output line a batch of actions. The adapter converts the
 * protocol's names, and its times in seconds, to the model. It uses one thread, and no clock other than the protocol's.
 */
package spartrail.sim;
