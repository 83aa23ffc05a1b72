package org.teaseltrail.standin.model;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.upstream.Announcement;

/** Output of the model of a plain service. */
public sealed interface ServiceAction {

  /**
   * A call was executed and is answered.
   *
   * @param request the request
   * @param execution number of executions of the request so far; more than one is a duplicate
   *     execution
   */
  record Respond(RequestId request, int execution) implements ServiceAction {}

  /**
   * The service is down: the call didn't reach it, or was lost in the crash.
   *
   * @param request the request
   * @param mayHaveRun whether the execution of the call had started
   */
  record Unreachable(RequestId request, boolean mayHaveRun) implements ServiceAction {}

  /**
   * The announcement is sent to every entry VM.
   *
   * @param announcement the announcement
   */
  record Announce(Announcement announcement) implements ServiceAction {}

  /** The service is leaving and has completed all calls received so far. */
  record Drained() implements ServiceAction {}
}
