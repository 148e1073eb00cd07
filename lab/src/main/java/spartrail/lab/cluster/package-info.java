/**
 * A rig of several processes of the program: starts front nodes on loopback with stand-in servers and roll, leads all talk
 * among them through links that a script breaks, kills, stops and restarts them, and merges what each knew into one history
 * that is judged. In: a plan. Out: a history, findings, a picture. Every process ends with the rig.
 */
package spartrail.lab.cluster;
