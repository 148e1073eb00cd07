/**
 * Versions of policy as a node takes part in them: the thread, the messages, the journal on disk and the library of the agreed
 * log. What is decided about versions is decided in {@code spartrail.policy}; nothing here is loaded without {@code --state}.
 */
package spartrail.policy.replication;
