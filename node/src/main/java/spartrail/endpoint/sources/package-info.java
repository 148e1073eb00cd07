/**
 * Servers from more sources than the roll. Nothing of it is loaded unless a members' file is given. The view is owned by one
 * thread of this package; the roll's watch and other sources hand in what they hear, the loop gets the lines that changed.
 */
package spartrail.endpoint.sources;
