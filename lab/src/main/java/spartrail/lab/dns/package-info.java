/** A stand-in for name servers on the loopback, UDP and TCP, whose answers and manners are a script. */
package spartrail.lab.dns;
