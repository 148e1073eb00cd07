/** The lab's command line: words in, an exit status out. 0 is done, 1 ran and failed, 2 bad input. */
package spartrail.lab.cli;
