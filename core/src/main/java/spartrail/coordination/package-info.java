/**
 * All decisions of a front node: which replica takes which part and when, retries and hedged requests, rejections, answers, and
 * which servers are ejected or warm up.
 *
 * <p>In come multigets, outcomes of attempts, endpoint updates, timers and the time; out go {@link spartrail.model.Decisions},
 * which the caller carries out. {@link spartrail.coordination.Coordinator} is the interface, {@link
 * spartrail.coordination.WindowCoordinator} its implementation, put together from one package-private class for each concern.
 * One thread owns an instance. There is no I/O, clock, thread or shared state here, and chance comes from the generator that is
 * handed in, so the same class runs in the front node, under the simulator and in the lab.
 */
package spartrail.coordination;
