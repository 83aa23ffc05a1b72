package org.teaseltrail.load.policy;

import java.util.List;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.message.DeclineReason;
import org.teaseltrail.standin.model.EngineFrame;

/** Hears what an engine does, at the time it does it. */
interface EngineListener {

  /** A request did not run. */
  void refused(RequestId request, UpstreamId engine, DeclineReason reason);

  /** A request's prompt is processed, or the part of it before its stream broke. */
  void prefilled(RequestId request, UpstreamId engine, int cachedTokens, int processedTokens);

  /** Frames of answers have been made at one moment. */
  void frames(UpstreamId engine, List<EngineFrame> frames);

  /** A request's stream broke before its end. */
  void broken(RequestId request, UpstreamId engine);

  /** The engine has died. */
  void crashed(UpstreamId engine);
}
