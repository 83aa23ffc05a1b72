package org.teaseltrail.core.entry;

import java.util.Optional;
import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.ServiceId;

/** Target of a call: a model that generates an answer, or a plain service. */
public sealed interface CallTarget {

  /**
   * Requests a generation.
   *
   * @param model the model
   * @param version version of the model; if absent, the served version
   * @param adapter the adapter, if any
   * @param promptUtf8 the prompt; only its length and the hashes of its blocks are stored
   * @param maxTokens maximum number of tokens to generate
   */
  record Generation(
      ModelId model,
      Optional<ModelVersion> version,
      Optional<AdapterId> adapter,
      byte[] promptUtf8,
      int maxTokens)
      implements CallTarget {}

  /**
   * Requests a call of a plain service.
   *
   * @param service the service
   * @param method the HTTP method in upper case
   */
  record ServiceCall(ServiceId service, String method) implements CallTarget {}
}
