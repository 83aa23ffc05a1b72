package org.teaseltrail.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class KeptConnectionTest {

  private static final int CALLS = 2_000;

  /**
   * A caller, or the balancer's check, sends one call after the other on a connection that it
   * keeps. After a few dozen calls one is never answered, and the connection is never closed. An
   * answer that another thread decides is sent there, and the next call, answered at once,
   * overtakes its end.
   */
  @Test
  @Timeout(30)
  void eachCallOnOneConnectionIsAnswered() throws Exception {
    try (EntryWorld world = new EntryWorld()) {
      for (int call = 0; call < CALLS; call++) {
        String path = call % 2 == 0 ? "/readyz" : "/healthz";
        assertThat(world.send(path, HttpRequest.Builder::GET).statusCode()).isEqualTo(200);
      }
    }
  }
}
