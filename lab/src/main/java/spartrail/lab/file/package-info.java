/** Files that people write: JSON with a schema. In comes a path, out comes a checked tree, or one line of what is wrong. */
package spartrail.lab.file;
