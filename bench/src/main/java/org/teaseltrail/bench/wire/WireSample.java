package org.teaseltrail.bench.wire;

import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.wire.MessageCodec;

/** Messages to be measured, with typical contents. */
public enum WireSample {
  /** A hello, which an entry VM sends to each member twice a second. */
  HELLO(WireSamples.hello()),
  /** The reply to a hello. */
  WELCOME(WireSamples.welcome()),
  /** An offer of a short question, whose prompt is shorter than a block. */
  OFFER_SHORT(WireSamples.offer(100, false)),
  /** An offer of a long report with 12,800 prompt tokens and an idempotency key. */
  OFFER_LONG(WireSamples.offer(12_800, true)),
  /** A grant of a slot for a request. */
  GRANT(WireSamples.grant()),
  /** The report that a request's first token has arrived. */
  FIRST_TOKEN(WireSamples.firstToken()),
  /** A progress report of a running request. */
  PROGRESS(WireSamples.progress()),
  /** The report that a request has ended. */
  ENDED(WireSamples.ended()),
  /** A forwarded announcement of an upstream. */
  UPSTREAM_SEEN(WireSamples.upstreamSeen()),
  /** A forwarded cache event of twenty blocks. */
  CACHE_SEEN(WireSamples.cacheSeen(20)),
  /** A configuration of a small deployment: 10 customers and 20 upstreams. */
  CONFIGURATION_10(WireSamples.configuration(10, 20)),
  /** A configuration of a medium deployment: 100 customers and 250 upstreams. */
  CONFIGURATION_100(WireSamples.configuration(100, 250)),
  /** A configuration of the size planned for two years ahead: 440 customers and 1,100 upstreams. */
  CONFIGURATION_440(WireSamples.configuration(440, 1_100));

  private final Object message;

  WireSample(Object message) {
    this.message = message;
  }

  /**
   * Encodes the message.
   *
   * @param codec the codec
   * @return the encoded message
   */
  public byte[] encode(MessageCodec codec) {
    if (message instanceof EntryMessage entry) {
      return codec.encode(EntryMessage.class, entry);
    }
    return codec.encode(ControlMessage.class, (ControlMessage) message);
  }

  /**
   * Decodes the message.
   *
   * @param codec the codec
   * @param bytes the encoded message
   * @return the message
   */
  public Object decode(MessageCodec codec, byte[] bytes) {
    if (message instanceof EntryMessage) {
      return codec.decode(EntryMessage.class, bytes);
    }
    return codec.decode(ControlMessage.class, bytes);
  }
}
