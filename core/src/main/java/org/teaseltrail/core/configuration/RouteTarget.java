package org.teaseltrail.core.configuration;

import java.util.Collections;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.ServiceId;

/** Says what callers ask for: a model to generate with or a plain service to call. */
public sealed interface RouteTarget {

  /**
   * Is a model, perhaps with an adapter.
   *
   * @param model the model
   * @param version the version that is served
   * @param adapter the adapter, if any
   */
  record ModelTarget(ModelId model, ModelVersion version, Optional<AdapterId> adapter)
      implements RouteTarget {}

  /**
   * Is a plain service.
   *
   * @param service the service
   * @param nonIdempotentMethods HTTP methods whose calls may run at most once, in upper case
   */
  record ServiceTarget(ServiceId service, Set<String> nonIdempotentMethods) implements RouteTarget {
    /** Keeps the methods in order, so that equal targets have equal texts in every process. */
    public ServiceTarget {
      nonIdempotentMethods = Collections.unmodifiableSet(new TreeSet<>(nonIdempotentMethods));
    }
  }
}
