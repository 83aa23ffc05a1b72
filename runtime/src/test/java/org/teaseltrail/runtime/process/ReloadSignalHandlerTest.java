package org.teaseltrail.runtime.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sun.misc.Signal;

class ReloadSignalHandlerTest {

  /** Guards against changed settings that are not loaded, as the signal came during the start. */
  @Test
  @Timeout(value = 10, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
  void signalBeforeActionIsRemembered() {
    AtomicInteger reloads = new AtomicInteger();
    try (ReloadSignalHandler handler = new ReloadSignalHandler()) {
      Signal.raise(new Signal("HUP"));
      while (!handler.hasPendingSignal()) {
        Thread.onSpinWait();
      }
      handler.setAction(reloads::incrementAndGet);
      assertThat(reloads).hasValue(1);
      assertThat(handler.hasPendingSignal()).isFalse();
    }
  }
}
