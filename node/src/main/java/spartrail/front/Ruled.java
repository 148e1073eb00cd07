package spartrail.front;

import spartrail.provisioning.DeploymentFile;

/**
 * Settings by which a node is to go until a time, and by what after that.
 *
 * @param name as the record names it
 * @param untilMs on the node's clock; endless for the last one
 */
record Ruled(String name, DeploymentFile deployment, double untilMs, Ruled next) {}
