/** A small model of the policy version protocol, whose states are searched exhaustively. */
package spartrail.lab.model;
