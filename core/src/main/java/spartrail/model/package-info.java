/**
 * The data model that the decisions, the front node and the lab share: multigets, parts and attempts, servers and
 * shards, op types, and small utilities such as {@link spartrail.model.TimerQueue}.
 *
 * <p>The classes hold plain state, without I/O and, except for {@link spartrail.model.NodeClock}, without a clock.
 * Fields that decisions read for each replica of each part are public and mutable. They belong to the thread that owns
 * the coordinator, and the field's comment names the class that writes it.
 */
package spartrail.model;
