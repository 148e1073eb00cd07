/**
 * Runs a cluster of front node processes on loopback with emulated servers and discovery. All datagrams between nodes
 * pass through links on which a plan sets faults; the plan also kills, suspends and restarts processes. What each node
 * reports is merged into one history, which is checked. Input: a plan. Output: a history, findings and a chart. Every
 * process ends with the harness.
 */
package spartrail.lab.cluster;
