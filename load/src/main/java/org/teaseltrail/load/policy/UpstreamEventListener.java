package org.teaseltrail.load.policy;

import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.CacheEvent;

/** Receives the events that upstreams publish, at the virtual time at which they are published. */
interface UpstreamEventListener {

  /** Called when an upstream announces its state. */
  void onAnnouncement(Announcement announcement);

  /** Called when an engine reports a change of its cache content. */
  void onCacheEvent(CacheEvent event);
}
