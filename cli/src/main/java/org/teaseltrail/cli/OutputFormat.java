package org.teaseltrail.cli;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.util.function.Supplier;

/** Output format of responses. */
enum OutputFormat {
  /** Human-readable sentences and tables. */
  TEXT {
    @Override
    String print(Message response, Supplier<String> text) {
      return text.get();
    }
  },
  /** The server's response as JSON, with the field names of the schema. */
  JSON {
    @Override
    String print(Message response, Supplier<String> text) {
      try {
        return PRINTER.print(response) + "\n";
      } catch (InvalidProtocolBufferException e) {
        throw new IllegalStateException("the schema has no field of type Any", e);
      }
    }
  };

  private static final JsonFormat.Printer PRINTER =
      JsonFormat.printer().preservingProtoFieldNames().includingDefaultValueFields();

  /**
   * Formats a response.
   *
   * @param response the server's response
   * @param text supplies the human-readable form
   * @return the text, including line breaks
   */
  abstract String print(Message response, Supplier<String> text);
}
