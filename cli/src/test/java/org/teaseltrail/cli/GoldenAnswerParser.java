package org.teaseltrail.cli;

import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
import java.util.List;
import org.teaseltrail.api.v1.ApplyChangeResponse;
import org.teaseltrail.api.v1.AwaitInForceResponse;
import org.teaseltrail.api.v1.ChangeMembersResponse;
import org.teaseltrail.api.v1.GetConfigurationResponse;
import org.teaseltrail.api.v1.GetStatusResponse;
import org.teaseltrail.api.v1.ListDecisionsResponse;
import org.teaseltrail.api.v1.OrderEngineResponse;

/** Parses a response of a golden session: the name of its message and its fields in text format. */
final class GoldenAnswerParser {

  private static final List<Message> KNOWN =
      List.of(
          ApplyChangeResponse.getDefaultInstance(),
          AwaitInForceResponse.getDefaultInstance(),
          ChangeMembersResponse.getDefaultInstance(),
          GetConfigurationResponse.getDefaultInstance(),
          GetStatusResponse.getDefaultInstance(),
          ListDecisionsResponse.getDefaultInstance(),
          OrderEngineResponse.getDefaultInstance());

  private GoldenAnswerParser() {}

  static Message parse(String line) {
    int space = line.indexOf(' ');
    String name = line.substring(0, space);
    Message.Builder builder =
        KNOWN.stream()
            .filter(message -> message.getDescriptorForType().getName().equals(name))
            .findFirst()
            .orElseThrow()
            .newBuilderForType();
    try {
      TextFormat.merge(line.substring(space), builder);
    } catch (TextFormat.ParseException e) {
      throw new IllegalArgumentException(line, e);
    }
    return builder.build();
  }
}
