package spartrail.front;

import spartrail.config.DeploymentFile;

/**
 * Settings by which a node is to go until a time, and by what after that.
 *
 * @param name as the record names it
 * @param untilMs on the node's clock; endless for the last one
 */
record ActivePolicy(String name, DeploymentFile deployment, double untilMs, ActivePolicy next) {}
