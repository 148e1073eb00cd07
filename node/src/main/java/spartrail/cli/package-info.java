/**
 * The node's command line: {@code serve}, {@code check}, {@code simhost}, {@code subset}, {@code version}.
 *
 * <p>In: arguments, the environment, SIGTERM and SIGHUP. Out: text on the standard output, problems on the standard error, an exit status:
 * 2 for unusable arguments or configuration, 1 for what else goes wrong.
 *
 * <p>Threads: the program's main thread runs the sub-command, {@code spartrail-drain} is its shutdown hook, the JVM's signal thread reads a
 * configuration again. Nothing here knows how a node serves; that is {@code spartrail.front}.
 */
package spartrail.cli;
