package org.teaseltrail.core.upstream;

import java.util.Set;
import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;

/**
 * Model that an engine has loaded.
 *
 * @param model the model
 * @param version its version
 * @param adapters the adapters loaded with it
 */
public record ServedModel(ModelId model, ModelVersion version, Set<AdapterId> adapters) {}
