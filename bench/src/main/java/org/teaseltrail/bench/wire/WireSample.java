package org.teaseltrail.bench.wire;

import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.wire.MessageCodec;

/** Names the messages that are measured, each as it is on an ordinary day. */
public enum WireSample {
  /** A hello, twice a second to each member. */
  HELLO(WireSamples.hello()),
  /** The answer to a hello. */
  WELCOME(WireSamples.welcome()),
  /** An offer of a quick question, its prompt shorter than a block. */
  OFFER_SHORT(WireSamples.offer(100, false)),
  /** An offer of a long report of 12,800 prompt tokens, with a key. */
  OFFER_LONG(WireSamples.offer(12_800, true)),
  /** A grant. */
  GRANT(WireSamples.grant()),
  /** A first token. */
  FIRST_TOKEN(WireSamples.firstToken()),
  /** Progress of a running request. */
  PROGRESS(WireSamples.progress()),
  /** The end of a request. */
  ENDED(WireSamples.ended()),
  /** An upstream's announcement passed on. */
  UPSTREAM_SEEN(WireSamples.upstreamSeen()),
  /** A cache event of twenty blocks passed on. */
  CACHE_SEEN(WireSamples.cacheSeen(20)),
  /** A configuration of 10 customers and 20 upstreams, about the size of today. */
  CONFIGURATION_10(WireSamples.configuration(10, 20)),
  /** A configuration of 100 customers and 250 upstreams. */
  CONFIGURATION_100(WireSamples.configuration(100, 250)),
  /** A configuration of the two-year size: 440 customers and 1,100 upstreams. */
  CONFIGURATION_440(WireSamples.configuration(440, 1_100));

  private final Object message;

  WireSample(Object message) {
    this.message = message;
  }

  /**
   * Writes the message.
   *
   * @param codec the codec
   * @return its bytes
   */
  public byte[] encode(MessageCodec codec) {
    if (message instanceof EntryMessage entry) {
      return codec.encode(EntryMessage.class, entry);
    }
    return codec.encode(ControlMessage.class, (ControlMessage) message);
  }

  /**
   * Reads the message.
   *
   * @param codec the codec
   * @param bytes its bytes
   * @return the message
   */
  public Object decode(MessageCodec codec, byte[] bytes) {
    if (message instanceof EntryMessage) {
      return codec.decode(EntryMessage.class, bytes);
    }
    return codec.decode(ControlMessage.class, bytes);
  }
}
