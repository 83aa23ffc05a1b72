package org.teaseltrail.standin.model;

/**
 * Is the work that an upstream did for one request.
 *
 * @param submissions how often it was handed in
 * @param executions how often it began to run; more than one is a doubled run
 * @param prefillTokens prompt tokens processed
 * @param cachedTokens prompt tokens that the cache saved
 * @param outputTokens tokens generated
 * @param state how far it has come
 */
public record RequestWork(
    int submissions,
    int executions,
    long prefillTokens,
    long cachedTokens,
    long outputTokens,
    WorkState state) {

  static final RequestWork NONE = new RequestWork(0, 0, 0, 0, 0, WorkState.REFUSED);

  RequestWork submitted() {
    return new RequestWork(
        submissions + 1, executions, prefillTokens, cachedTokens, outputTokens, state);
  }

  RequestWork started() {
    return new RequestWork(
        submissions, executions + 1, prefillTokens, cachedTokens, outputTokens, WorkState.RUNNING);
  }

  RequestWork ended(Sequence sequence, WorkState end) {
    return new RequestWork(
        submissions,
        executions,
        prefillTokens + sequence.processedTokens(),
        cachedTokens + sequence.cachedTokens(),
        outputTokens + sequence.outputTokens(),
        end);
  }
}
