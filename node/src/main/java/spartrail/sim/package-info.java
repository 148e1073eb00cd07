/**
 * The simulator's adapter: one process hosts many instances of the coordinator behind a line protocol on standard input and
 * output. Batches of events come in, batches of actions go out; the protocol's names and seconds are mapped to the model here.
 * One thread, and no clock but the protocol's.
 */
package spartrail.sim;
