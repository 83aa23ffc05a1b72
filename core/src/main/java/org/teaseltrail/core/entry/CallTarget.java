package org.teaseltrail.core.entry;

import java.util.Optional;
import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.ServiceId;

/** Is a model to generate with or a plain service to call. */
public sealed interface CallTarget {

  /**
   * Asks for a generation.
   *
   * @param model the model
   * @param version its version; the one served if absent
   * @param adapter the adapter, if any
   * @param promptUtf8 the prompt; only its length and its blocks' hashes are kept
   * @param maxTokens the most tokens to generate
   */
  record Generation(
      ModelId model,
      Optional<ModelVersion> version,
      Optional<AdapterId> adapter,
      byte[] promptUtf8,
      int maxTokens)
      implements CallTarget {}

  /**
   * Asks for a call of a plain service.
   *
   * @param service the service
   * @param method the HTTP method in upper case
   */
  record ServiceCall(ServiceId service, String method) implements CallTarget {}
}
