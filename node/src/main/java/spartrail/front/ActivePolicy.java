package spartrail.front;

import spartrail.config.DeploymentFile;

/**
 * A policy version that holds until a time, and the one that holds after it.
 *
 * @param name as the record of multigets names it
 * @param untilMs on the node's clock; infinite for the last one
 * @param next null behind the last one
 */
record ActivePolicy(String name, DeploymentFile deployment, double untilMs, ActivePolicy next) {}
