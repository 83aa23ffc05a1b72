package org.teaseltrail.standin.model;

/**
 * Work that an engine did for one request.
 *
 * @param submissions number of times it was submitted
 * @param executions number of times its execution started; more than one is a duplicate execution
 * @param prefillTokens prompt tokens processed
 * @param cachedTokens prompt tokens read from the prefix cache
 * @param outputTokens tokens generated
 * @param state its latest state
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
