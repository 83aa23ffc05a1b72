package org.teaseltrail.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.id.CustomerId;

class FingerprintTest {

  private static final Optional<CustomerId> OWNER = Optional.of(new CustomerId("c1"));

  private static ForwardRequest request(String id, String path, String body) {
    return new ForwardRequest(
        1,
        id,
        "host.example",
        path,
        Optional.of("key"),
        OptionalLong.empty(),
        OptionalInt.empty(),
        OptionalInt.empty(),
        List.of(),
        digest -> digest.update((path + "\n" + body).getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  void requestWithAnotherIdHasSameFingerprint() {
    Fingerprint first = request("a", "/x/1", "body").fingerprint(OWNER);
    assertThat(request("b", "/x/1", "body").fingerprint(OWNER)).isEqualTo(first);
    assertThat(first.scope()).isEqualTo(request("b", "/x/1", "other").scope(OWNER));
    assertThat(first.text()).hasSize(24);
  }

  @Test
  void otherCustomersPathsAndBodiesHaveOtherFingerprints() {
    Fingerprint first = request("a", "/x/1", "body").fingerprint(OWNER);
    assertThat(request("a", "/x/1", "other").fingerprint(OWNER)).isNotEqualTo(first);
    assertThat(request("a", "/x/2", "body").fingerprint(OWNER)).isNotEqualTo(first);
    assertThat(request("a", "/x/1", "body").fingerprint(Optional.of(new CustomerId("c2"))))
        .isNotEqualTo(first);
    assertThat(request("a", "/x/1", "body").fingerprint(Optional.empty())).isNotEqualTo(first);
  }
}
