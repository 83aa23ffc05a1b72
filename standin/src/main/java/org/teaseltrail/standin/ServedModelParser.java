package org.teaseltrail.standin;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;
import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.upstream.ServedModel;

/** Parses a loaded model from the text {@code model:version} or {@code model:version:a+b}. */
final class ServedModelParser {

  private ServedModelParser() {}

  static ServedModel parse(String text) {
    String[] parts = text.split(":", -1);
    if (parts.length < 2 || parts.length > 3) {
      throw new IllegalArgumentException("expected model:version or model:version:adapters");
    }
    Set<AdapterId> adapters = parts.length == 2 ? Set.of() : adapters(parts[2]);
    return new ServedModel(new ModelId(parts[0]), new ModelVersion(parts[1]), adapters);
  }

  private static Set<AdapterId> adapters(String text) {
    return Arrays.stream(text.split("\\+", -1))
        .map(AdapterId::new)
        .collect(Collectors.toUnmodifiableSet());
  }
}
