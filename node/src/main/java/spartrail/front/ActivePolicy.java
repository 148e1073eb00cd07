package spartrail.front;

import spartrail.config.DeploymentFile;

/**
 * A policy version with its expiry time, and its successor.
 *
 * @param name the name in the record of multigets
 * @param untilMs the expiry time on the node's clock; infinite for the last version
 * @param next the successor; null for the last version
 */
record ActivePolicy(String name, DeploymentFile deployment, double untilMs, ActivePolicy next) {}
