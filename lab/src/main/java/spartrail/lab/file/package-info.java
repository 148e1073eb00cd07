/** Reads JSON files that users write and validates them by a schema; errors are messages of one line. */
package spartrail.lab.file;
