package org.teaseltrail.core.entry;

import org.teaseltrail.core.request.OutputEstimator;

/** Holds the parts that the handlers of an entry VM share. */
final class EntryParts {

  final EntrySettings settings;
  final Outbox out = new Outbox();
  final AppliedConfiguration configuration = new AppliedConfiguration();
  final UpstreamDirectory upstreams = new UpstreamDirectory(configuration);
  final RequestTable requests = new RequestTable();
  final TimerQueue timers = new TimerQueue();
  final OutputEstimator estimator = new OutputEstimator();
  final ControlSession session;
  final EndedReports ends;

  EntryParts(EntrySettings settings) {
    this.settings = settings;
    this.session = new ControlSession(settings, configuration, out);
    this.ends = new EndedReports(session);
  }
}
