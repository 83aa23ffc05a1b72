package org.teaseltrail.core.configuration;

import java.util.Collections;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.ServiceId;

/** Target that callers request: a model for generation or a plain service to call. */
public sealed interface RouteTarget {

  /**
   * Model, optionally with an adapter.
   *
   * @param model the model
   * @param version the version of the model
   * @param adapter the adapter, if any
   */
  record ModelTarget(ModelId model, ModelVersion version, Optional<AdapterId> adapter)
      implements RouteTarget {}

  /**
   * Plain service.
   *
   * @param service the service
   * @param nonIdempotentMethods HTTP methods, in upper case, whose calls are executed at most once
   */
  record ServiceTarget(ServiceId service, Set<String> nonIdempotentMethods) implements RouteTarget {
    /** Sorts the methods, so that equal targets have the same text form in every process. */
    public ServiceTarget {
      nonIdempotentMethods = Collections.unmodifiableSet(new TreeSet<>(nonIdempotentMethods));
    }
  }
}
