/**
 * Experiments: a matrix of runs, each with a fleet, front nodes and load. Reports are stored in an embedded database
 * and shown as tables and charts. Front nodes are processes of their own; everything else runs in this process.
 */
package spartrail.lab.experiment;
