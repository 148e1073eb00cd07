/** JSON files that people write, validated by a schema: a path comes in, a valid tree or an error of one line goes out. */
package spartrail.lab.file;
