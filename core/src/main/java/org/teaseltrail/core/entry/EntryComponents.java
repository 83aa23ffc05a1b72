package org.teaseltrail.core.entry;

import org.teaseltrail.core.request.OutputLengthEstimator;

/** Components that the handlers of an entry VM share. */
final class EntryComponents {

  final EntrySettings settings;
  final ActionBuffer actions = new ActionBuffer();
  final AppliedConfiguration configuration = new AppliedConfiguration();
  final AnnouncementStore upstreams = new AnnouncementStore(configuration);
  final RequestTable requests = new RequestTable();
  final TimerQueue timers = new TimerQueue();
  final OutputLengthEstimator estimator = new OutputLengthEstimator();
  final ControlSession session;
  final EndedReportQueue endedReports;

  EntryComponents(EntrySettings settings) {
    this.settings = settings;
    this.session = new ControlSession(settings, configuration, actions);
    this.endedReports = new EndedReportQueue(session);
  }
}
