package spartrail.policy;

/**
 * By what a node decides now, and by what next when that is over. Whoever decides looks at its clock first.
 *
 * @param name numbers of the versions that it keeps to: {@code 3}; guarded between two {@code 3|4}; and what holds as far as the
 *     node knew when it last heard {@code 3?} or {@code 3|4?}
 * @param untilMs on the node's clock; endless for the last one
 */
public record PolicyLease(String name, PolicySettings terms, boolean guarded, double untilMs, PolicyLease next) {
    /** The one that holds at this time. */
    public PolicyLease at(double nowMs) {
        PolicyLease ruling = this;
        while (nowMs >= ruling.untilMs) {
            ruling = ruling.next;
        }
        return ruling;
    }
}
