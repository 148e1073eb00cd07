/**
 * JSON of unknown structure, read from a parser into maps, lists and plain values. The package only reads. It has no
 * I/O of its own and no state, so any thread may use it.
 */
package spartrail.json;
