/** The command line of the lab. Exit status 0 means success, 1 a command that ran and failed, 2 invalid input. */
package spartrail.lab.cli;
