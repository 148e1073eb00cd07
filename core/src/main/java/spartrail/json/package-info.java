/**
 * JSON whose form is not known beforehand, read from a parser into maps, lists and plain values. No I/O of its own, no state; any
 * thread may use it. Nothing is written here.
 */
package spartrail.json;
