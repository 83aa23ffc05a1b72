package org.teaseltrail.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.upstream.SocketAddress;

class VmAddressResolverTest {

  private final VmAddressResolver resolver = VmAddressResolver.fromVmName();

  @Test
  void nameOfMemberIsItsAddress() {
    assertThat(resolver.resolve(new VmId("127.0.0.1:8230")))
        .contains(new SocketAddress("127.0.0.1", 8230));
  }

  /** Guards against one member with an unusual name that ends the event loops of all others. */
  @ParameterizedTest
  @ValueSource(
      strings = {"control-1", "host:", "host:x", "host:0", "host:65536", "host:99999999999"})
  void nameThatIsNoAddressHasNone(String name) {
    assertThat(resolver.resolve(new VmId(name))).isEmpty();
  }
}
