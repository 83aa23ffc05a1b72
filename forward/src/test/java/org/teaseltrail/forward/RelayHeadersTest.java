package org.teaseltrail.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.StringId;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.relay.RelayHop;
import org.teaseltrail.core.stream.StreamOrigin;

class RelayHeadersTest {

  private static final VmId FROM = new VmId("entry-1");

  private final HttpHeaders headers = new DefaultHttpHeaders();

  @ParameterizedTest
  @CsvSource({"v1", "''"})
  void hopIsReadAsItWasWrittenAndRemoved(String version) throws Exception {
    Optional<UpstreamVersion> reported =
        Optional.of(version).filter(text -> !text.isEmpty()).map(UpstreamVersion::new);
    StreamOrigin origin = new StreamOrigin(new ServiceId("s"), reported);
    RelayHop hop = new RelayHop(FROM, 12, 1, true, Optional.of(origin));
    RelayHeaders.writeHop(headers, hop);
    assertThat(RelayHeaders.takeHop(headers)).isEqualTo(hop);
    assertThat(headers).isEmpty();
  }

  /** Guards against a peer of an older program, which names no origin. */
  @Test
  void hopWithoutOriginIsValid() throws Exception {
    RelayHop hop = new RelayHop(FROM, 12, 1, true);
    RelayHeaders.writeHop(headers, hop);
    assertThat(RelayHeaders.takeHop(headers)).isEqualTo(hop);
  }

  /** Guards against a caller that chooses the version of its stream by headers of its own. */
  @Test
  void callersOwnHeadersAreReplaced() throws Exception {
    headers.set("Relay-Origin-Service", "s").set("Relay-Origin-Version", "v9");
    RelayHeaders.writeHop(headers, new RelayHop(FROM, 12, 1, true));
    assertThat(RelayHeaders.takeHop(headers).origin()).isEmpty();
  }

  /** Guards against a stream that goes on anywhere because its origin can't be read. */
  @Test
  void malformedOriginIsRefused() {
    RelayHeaders.writeHop(headers, new RelayHop(FROM, 12, 1, true));
    headers.set("Relay-Origin-Service", "s".repeat(StringId.MAX_LENGTH + 1));
    assertThatThrownBy(() -> RelayHeaders.takeHop(headers))
        .isInstanceOf(MalformedRequestException.class);
  }
}
