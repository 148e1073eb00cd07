/**
 * The configuration of a front node. In: the JSON of the deploy file and the settings of the simulator. Out: op types,
 * configured coordinators and typed values in milliseconds. Immutable once read; has no threads. Only this package
 * knows the names of the settings, which the operators' documents define.
 */
package spartrail.config;
