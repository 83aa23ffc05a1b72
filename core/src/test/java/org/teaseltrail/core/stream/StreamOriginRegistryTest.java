package org.teaseltrail.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamVersion;

class StreamOriginRegistryTest {

  private static final long MS = 1_000_000L;
  private static final StreamOrigin OLD = origin("v1");

  private final StreamOriginRegistry store = new StreamOriginRegistry();

  @Test
  void findsOriginUntilItExpires() {
    store.record(new BegunStream(key("c", "id-1"), OLD, 100), 0);
    assertThat(store.find(key("c", "id-1"), 100 * MS - 1)).contains(OLD);
    assertThat(store.find(key("c", "id-1"), 100 * MS)).isEmpty();
  }

  /** Guards against a customer that continues, or learns of, another customer's stream. */
  @Test
  void anotherCustomersStreamIsUnknown() {
    store.record(new BegunStream(key("c", "id-1"), OLD, 100), 0);
    assertThat(store.find(key("d", "id-1"), 1)).isEmpty();
    assertThat(store.find(new StreamKey(Optional.empty(), "id-1"), 1)).isEmpty();
  }

  /** Guards against a name that stands for two streams, of which one would be guessed. */
  @Test
  void nameWithTwoOriginsIsUnknown() {
    store.record(new BegunStream(key("c", "id-1"), OLD, 100), 0);
    store.record(new BegunStream(key("c", "id-1"), origin("v2"), 100), 1);
    assertThat(store.find(key("c", "id-1"), 2)).isEmpty();
    store.record(new BegunStream(key("c", "id-1"), OLD, 100), 3);
    assertThat(store.find(key("c", "id-1"), 4)).isEmpty();
  }

  /** Guards against an origin that is doubted because its VM tells it again. */
  @Test
  void sameOriginAgainIsKeptLonger() {
    store.record(new BegunStream(key("c", "id-1"), OLD, 100), 0);
    store.record(new BegunStream(key("c", "id-1"), OLD, 100), 90 * MS);
    assertThat(store.find(key("c", "id-1"), 150 * MS)).contains(OLD);
  }

  /** Guards against a member that ends for want of memory, as many streams begin in a minute. */
  @Test
  void keepsNoMoreThanFitsItsMemory() {
    for (int i = 0; i < 300_000; i++) {
      store.record(new BegunStream(key("c", "0123456789-" + i), origin("v1"), 60_000), 0);
    }
    assertThat(store.size()).isBetween(90_000, 160_000);
    assertThat(store.find(key("c", "0123456789-299999"), 1)).contains(OLD);
    assertThat(store.find(key("c", "0123456789-0"), 1)).isEmpty();
  }

  /** Guards against a bound in streams that long ids pass many times over. */
  @Test
  void longIdsTakeTheirRoom() {
    String padding = "x".repeat(200);
    for (int i = 0; i < 100_000; i++) {
      store.record(new BegunStream(key("c", padding + i), OLD, 60_000), 0);
    }
    assertThat(store.size()).isBetween(60_000, 90_000);
  }

  /** Guards against each stream holding names of its own that all streams have. */
  @Test
  void streamsShareTheirOrigin() {
    store.record(new BegunStream(key("c", "id-1"), origin("v1"), 100), 0);
    store.record(new BegunStream(key("c", "id-2"), origin("v1"), 100), 0);
    assertThat(store.find(key("c", "id-1"), 1).orElseThrow())
        .isSameAs(store.find(key("c", "id-2"), 1).orElseThrow());
  }

  private static StreamKey key(String customer, String attempt) {
    return new StreamKey(Optional.of(new CustomerId(customer)), attempt);
  }

  private static StreamOrigin origin(String version) {
    return new StreamOrigin(new ServiceId("engines"), Optional.of(new UpstreamVersion(version)));
  }
}
