package org.teaseltrail.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class KeepAliveConnectionTest {

  private static final int CALLS = 2_000;

  /**
   * Guards against a request on a keep-alive connection that is never answered, while the
   * connection stays open. A response computed on another thread was also written there, and the
   * next request's immediate response could overtake its end. The failure appeared after a few
   * dozen requests.
   */
  @Test
  @Timeout(30)
  void eachCallOnOneConnectionIsAnswered() throws Exception {
    try (EntryTestEnvironment world = new EntryTestEnvironment()) {
      for (int call = 0; call < CALLS; call++) {
        String path = call % 2 == 0 ? "/readyz" : "/healthz";
        assertThat(world.send(path, HttpRequest.Builder::GET).statusCode()).isEqualTo(200);
      }
    }
  }
}
