/**
 * Discovery's endpoint list over HTTP. Lists and failures go out to a listener on the I/O thread on which everything here runs;
 * nothing here blocks, and nothing here ends service: without discovery the last list stays in use.
 */
package spartrail.discovery;
