package org.teaseltrail.load.policy;

import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.CacheEvent;

/** Hears what upstreams say of themselves, at the time they say it. */
interface UpstreamNews {

  /** An upstream announces itself. */
  void announced(Announcement announcement);

  /** An engine tells what its cache holds. */
  void cacheChanged(CacheEvent event);
}
