/**
 * The node's command line: {@code serve}, {@code check}, {@code simhost}, {@code subset}, {@code version}.
 *
 * <p>In: arguments, the environment, SIGTERM and SIGHUP. Out: text on the standard output, errors on the standard
 * error, an exit status: 2 for unusable arguments or configuration, 1 for any other failure.
 *
 * <p>Threads: the program's main thread runs the sub-command, {@code spartrail-drain} is the shutdown hook, and the
 * JVM's signal thread reloads the configuration. {@code spartrail.front} implements the node itself.
 */
package spartrail.cli;
