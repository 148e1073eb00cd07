/**
 * The configuration of a front node: in come the JSON of the deploy file and the settings of the simulator, out go op types,
 * configured coordinators and typed values in milliseconds. Immutable once read; no threads. The names of the settings, which
 * the operators' documents give, are known in this package and nowhere else.
 */
package spartrail.config;
