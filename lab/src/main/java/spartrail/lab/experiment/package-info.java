/**
 * Experiments: a matrix of runs of a fleet, front nodes and load in one, kept in an embedded store and shown as tables
 * and charts. Front nodes are processes of their own; the rest runs in this one.
 */
package spartrail.lab.experiment;
