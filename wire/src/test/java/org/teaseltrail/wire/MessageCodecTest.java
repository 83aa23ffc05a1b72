package org.teaseltrail.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.configuration.ConfigurationChange;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.Revision;
import org.teaseltrail.core.id.Tier;
import org.teaseltrail.core.message.ControlMessage;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.message.Usage;
import org.teaseltrail.core.message.WithdrawReason;
import org.teaseltrail.core.replication.EntryPayload;
import org.teaseltrail.core.replication.PeerMessage;
import org.teaseltrail.core.state.Command;

class MessageCodecTest {

  private static final List<Class<?>> SEALED_TYPES =
      List.of(
          EntryMessage.class,
          ControlMessage.class,
          PeerMessage.class,
          EntryPayload.class,
          ConfigurationChange.class,
          Command.class);

  private final MessageCodec codec = new MessageCodec();

  sealed interface Shape {
    record Named(MemberId id) implements Shape {}

    record Numbered(long number) implements Shape {}

    record Binary(byte[] bytes, Map<Tier, List<Shape>> parts) implements Shape {}
  }

  record WithdrawWithAddedField(RequestId request, WithdrawReason reason, String added) {}

  static List<SampleMessage<?>> messages() {
    List<SampleMessage<?>> messages = new ArrayList<>(SampleMessages.all());
    for (Class<?> root : SEALED_TYPES) {
      messages.addAll(SampleRecordFactory.samplesOf(root));
    }
    return messages;
  }

  @ParameterizedTest
  @MethodSource("messages")
  void everyPermittedMessageSurvivesRoundTrip(SampleMessage<?> sample) {
    assertThat(roundTrip(sample)).usingRecursiveComparison().isEqualTo(sample.message());
  }

  @ParameterizedTest
  @MethodSource("messages")
  void onlyComponentsAreWritten(SampleMessage<?> sample) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(sample.encode(codec))) {
      unpacker.unpackArrayHeader();
      assertThat(unpacker.unpackString()).isEqualTo(sample.type().getSimpleName());
      assertThat(unpacker.unpackMapHeader())
          .isLessThanOrEqualTo(sample.type().getRecordComponents().length);
    }
  }

  @Test
  void absentOptionalIsDecodedAsEmpty() {
    ControlMessage message = new ControlMessage.NotLeader(new MemberId("c1"), Optional.empty(), 7);
    byte[] bytes = codec.encode(ControlMessage.class, message);
    assertThat(codec.decode(ControlMessage.class, bytes)).isEqualTo(message);
  }

  @Test
  void valueTypesAreWrittenAsPlainTextAndNumber() {
    assertThat(codec.encode(MemberId.class, new MemberId("c1"))).isEqualTo(packed("c1"));
    assertThat(codec.encode(Revision.class, new Revision(5))).isEqualTo(new byte[] {5});
  }

  @Test
  void bytesAndNestedSealedTypesSurviveRoundTrip() {
    Shape.Binary shape =
        new Shape.Binary(
            new byte[] {0, -1, 5},
            Map.of(
                new Tier(2), List.of(new Shape.Named(new MemberId("m")), new Shape.Numbered(9))));
    Shape.Binary back = (Shape.Binary) codec.decode(Shape.class, codec.encode(Shape.class, shape));
    assertThat(back.bytes()).isEqualTo(shape.bytes());
    assertThat(back.parts()).isEqualTo(shape.parts());
  }

  @Test
  void fullConfigurationSurvivesRoundTrip() {
    Configuration configuration = SampleMessages.configuration(10, 20);
    byte[] bytes = codec.encode(Configuration.class, configuration);
    assertThat(codec.decode(Configuration.class, bytes)).isEqualTo(configuration);
  }

  @Test
  void componentAddedByNewerProgramIsSkipped() {
    WithdrawWithAddedField wider =
        new WithdrawWithAddedField(new RequestId("r"), WithdrawReason.DEADLINE, "new");
    byte[] bytes = codec.encode(WithdrawWithAddedField.class, wider);
    assertThat(codec.decode(EntryMessage.Withdraw.class, bytes))
        .isEqualTo(new EntryMessage.Withdraw(new RequestId("r"), WithdrawReason.DEADLINE));
  }

  @Test
  void missingTextIsMalformedAndMissingNumberIsZero() {
    byte[] emptyMap = {(byte) 0x80};
    assertThatThrownBy(() -> codec.decode(EntryMessage.Withdraw.class, emptyMap))
        .isInstanceOf(MalformedMessageException.class);
    assertThat(codec.decode(Usage.class, emptyMap)).isEqualTo(new Usage(0, 0, 0));
  }

  @Test
  void unknownTypeNameIsMalformed() throws Exception {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(2).packString("Surprise").packMapHeader(0);
      byte[] bytes = packer.toByteArray();
      assertThatThrownBy(() -> codec.decode(EntryMessage.class, bytes))
          .isInstanceOf(MalformedMessageException.class);
    }
  }

  @ParameterizedTest
  @MethodSource("org.teaseltrail.wire.SampleMessages#all")
  void everyTruncatedMessageIsMalformed(SampleMessage<?> sample) {
    byte[] bytes = sample.encode(codec);
    for (int length = 0; length < bytes.length; length++) {
      byte[] cut = Arrays.copyOf(bytes, length);
      assertThatThrownBy(() -> codec.decode(sample.sealedType(), cut))
          .isInstanceOf(MalformedMessageException.class);
    }
  }

  @Test
  void trailingBytesAreMalformed() {
    byte[] bytes = codec.encode(Revision.class, new Revision(5));
    byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
    assertThatThrownBy(() -> codec.decode(Revision.class, longer))
        .isInstanceOf(MalformedMessageException.class);
  }

  // Guards against an out-of-memory error when a peer with a corrupt disk, or an unknown client on
  // the port, sends a short frame that declares two gigabytes of binary data: the decoder would
  // allocate the declared length first. The codec must reject the frame as malformed instead.
  @Test
  void declaredLengthBeyondTheBytesIsMalformed() {
    byte[] hostile = {(byte) 0xc6, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1};
    codec.encode(Shape.class, new Shape.Numbered(1));
    long beforeBytes = allocatedBytes();
    assertThatThrownBy(() -> codec.decode(Shape.class, hostile))
        .isInstanceOf(MalformedMessageException.class);
    assertThat(allocatedBytes() - beforeBytes).isLessThan(64_000_000);
  }

  @Test
  void invalidIdIsMalformed() {
    assertThatThrownBy(() -> codec.decode(MemberId.class, packed("")))
        .isInstanceOf(MalformedMessageException.class);
    assertThatThrownBy(() -> codec.decode(Revision.class, new byte[] {-1}))
        .isInstanceOf(MalformedMessageException.class);
  }

  private static long allocatedBytes() {
    com.sun.management.ThreadMXBean threads =
        (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
    return threads.getThreadAllocatedBytes(Thread.currentThread().getId());
  }

  private <T> T roundTrip(SampleMessage<T> sample) {
    return codec.decode(sample.sealedType(), sample.encode(codec));
  }

  private static byte[] packed(String text) {
    byte[] bytes = new byte[text.length() + 1];
    bytes[0] = (byte) (0xa0 | text.length());
    System.arraycopy(text.getBytes(StandardCharsets.US_ASCII), 0, bytes, 1, text.length());
    return bytes;
  }
}
