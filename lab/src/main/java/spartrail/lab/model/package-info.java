/** A small model of how a version of policy takes hold, searched to its end. */
package spartrail.lab.model;
