package org.teaseltrail.standin.model;

import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.upstream.Announcement;

/** Is something that a plain service does. */
public sealed interface ServiceAction {

  /**
   * A call has run and is answered.
   *
   * @param request the request
   * @param execution how many times the request has run here; more than one is a doubled run
   */
  record Respond(RequestId request, int execution) implements ServiceAction {}

  /**
   * The service is down: the call didn't reach it, or died with it.
   *
   * @param request the request
   * @param mayHaveRun whether the call had begun to run
   */
  record Unreachable(RequestId request, boolean mayHaveRun) implements ServiceAction {}

  /**
   * The announcement goes to every entry VM.
   *
   * @param announcement the announcement
   */
  record Announce(Announcement announcement) implements ServiceAction {}

  /** The service is leaving and has finished all that it had so far. */
  record Drained() implements ServiceAction {}
}
