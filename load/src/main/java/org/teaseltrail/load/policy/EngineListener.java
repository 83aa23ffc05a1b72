package org.teaseltrail.load.policy;

import java.util.List;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.message.DeclineReason;
import org.teaseltrail.standin.model.EngineFrame;

/** Receives the events of a simulated engine at the virtual time at which they occur. */
interface EngineListener {

  /** Called when a request was refused before it ran. */
  void refused(RequestId request, UpstreamId engine, DeclineReason reason);

  /**
   * Called when a request's prompt has been processed, or the part of it that was processed before
   * the stream broke.
   */
  void prefilled(RequestId request, UpstreamId engine, int cachedTokens, int processedTokens);

  /** Called with all response frames that the engine generated at one point in time. */
  void frames(UpstreamId engine, List<EngineFrame> frames);

  /** Called when a request's stream broke before the end of the response. */
  void broken(RequestId request, UpstreamId engine);

  /** Called when the engine has crashed. */
  void crashed(UpstreamId engine);
}
