/** The program's entry point; {@code spartrail.cli} has its sub-commands. Runs on the main thread and keeps no state. */
package spartrail;
