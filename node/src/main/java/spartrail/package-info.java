/** The program's entry point; {@code spartrail.cli} has the sub-commands. Runs on the main thread and has no state. */
package spartrail;
