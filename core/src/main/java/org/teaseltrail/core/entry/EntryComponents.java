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
  final EntryQuarantine quarantine;
  final ControlSession session;
  final EndedReportQueue endedReports;

  EntryComponents(EntrySettings settings) {
    this.settings = settings;
    this.quarantine = new EntryQuarantine(settings.vm());
    this.session = new ControlSession(settings, configuration, quarantine, actions);
    this.endedReports = new EndedReportQueue(session);
  }
}
