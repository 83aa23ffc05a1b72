package org.teaseltrail.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.teaseltrail.core.configuration.AllowedUpstream;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.Customer;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.FencingNumber;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.ControlMessage.ConfigurationUpdate;

class ConfigurationDeltaProperties {

  private static final FencingNumber FENCING = new FencingNumber(4);

  private final MessageCodec codec = new MessageCodec();

  @Property(seed = "31", tries = 100)
  void decoderRestoresFullConfigurations(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ControlMessageEncoder encoder = new ControlMessageEncoder(codec);
    ControlMessageDecoder decoder = new ControlMessageDecoder(codec);
    Configuration configuration = SampleMessages.configuration(5, 5);
    for (int i = 0; i < 8; i++) {
      ControlMessage update = new ConfigurationUpdate(FENCING, configuration);
      assertThat(decoder.decode(encoder.encode(update))).isEqualTo(update);
      encoder.onSent(update);
      configuration = changed(configuration, random);
    }
  }

  @Example
  void frameSizeOfCustomerChangeIsIndependentOfConfigurationSize() {
    ControlMessageEncoder encoder = new ControlMessageEncoder(codec);
    Configuration large = SampleMessages.configuration(440, 1_100);
    ConfigurationUpdate first = new ConfigurationUpdate(FENCING, large);
    assertThat(encoder.encode(first).length).isGreaterThan(100_000);
    encoder.onSent(first);
    Configuration next = changed(large, new SplittableRandom(1));
    assertThat(encoder.encode(new ConfigurationUpdate(FENCING, next)).length).isLessThan(1_000);
  }

  @Example
  void frameIsSharedByConnectionsOfOneLeadershipOnly() {
    Configuration from = SampleMessages.configuration(5, 5);
    ConfigurationUpdate update =
        new ConfigurationUpdate(FENCING, changed(from, new SplittableRandom(1)));
    byte[] first = codec.configurationFrames().deltaFrame(from, update);
    assertThat(codec.configurationFrames().deltaFrame(from, update)).isSameAs(first);
    assertThat(codec.configurationFrames().whole(update))
        .isSameAs(codec.configurationFrames().whole(update));
    ConfigurationUpdate later =
        new ConfigurationUpdate(new FencingNumber(5), update.configuration());
    ControlMessageDecoder decoder = new ControlMessageDecoder(codec);
    decoder.decode(codec.configurationFrames().whole(new ConfigurationUpdate(FENCING, from)));
    assertThat(decoder.decode(codec.configurationFrames().deltaFrame(from, later)))
        .isEqualTo(later);
  }

  // Guards against VMs with different configurations of the same revision, such as one that still
  // serves a removed customer, if a delta frame is decoded with the state of another connection. A
  // delta with a different base must be refused.
  @Example
  void deltaWithDifferentBaseIsRefused() {
    Configuration from = SampleMessages.configuration(5, 5);
    Configuration to = changed(from, new SplittableRandom(1));
    ControlMessageEncoder encoder = new ControlMessageEncoder(codec);
    encoder.onSent(new ConfigurationUpdate(FENCING, from));
    byte[] delta = encoder.encode(new ConfigurationUpdate(FENCING, to));
    ControlMessageDecoder fresh = new ControlMessageDecoder(codec);
    assertThatThrownBy(() -> fresh.decode(delta)).isInstanceOf(MalformedMessageException.class);
    ControlMessageDecoder other = new ControlMessageDecoder(codec);
    other.decode(codec.encode(ControlMessage.class, new ConfigurationUpdate(FENCING, to)));
    assertThatThrownBy(() -> other.decode(delta)).isInstanceOf(MalformedMessageException.class);
  }

  private static Configuration changed(Configuration from, SplittableRandom random) {
    Map<CustomerId, Customer> customers = new HashMap<>(from.customers());
    Map<UpstreamId, AllowedUpstream> upstreams = new HashMap<>(from.upstreams());
    CustomerId customer = new CustomerId("division-" + random.nextInt(5));
    switch (random.nextInt(4)) {
      case 0 -> customers.remove(customer);
      case 1 ->
          customers.put(
              customer,
              new Customer(customer, new Tier(1), List.of(), 1 + random.nextInt(9), 9, 1));
      case 2 ->
          upstreams.computeIfPresent(
              new UpstreamId("tutor-llm-" + random.nextInt(5)),
              (id, upstream) -> upstream.withDraining(!upstream.draining()));
      default -> upstreams.remove(new UpstreamId("tutor-llm-" + random.nextInt(5)));
    }
    return new Configuration(
        new Revision(from.revision().value() + 1 + random.nextInt(3)),
        from.tiers(),
        customers,
        from.pools(),
        from.routes(),
        upstreams);
  }
}
