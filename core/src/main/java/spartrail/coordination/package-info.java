/**
 * The decisions of a front node: which replica gets which part and when, retries and hedged requests, rejections,
 * answers, and which servers are ejected or warm up.
 *
 * <p>The input is multigets, outcomes of attempts, endpoint updates, timer events and the time. The output is {@link
 * spartrail.model.Decisions}, which the caller carries out. {@link spartrail.coordination.Coordinator} is the
 * interface; its implementation, {@link spartrail.coordination.WindowCoordinator}, connects one package-private class
 * for each concern. One thread owns an instance. The package has no I/O, clock, thread or shared state, and takes
 * random numbers only from the generator that the caller passes in, so the same classes run in the front node, under
 * the simulator and in the lab.
 */
package spartrail.coordination;
