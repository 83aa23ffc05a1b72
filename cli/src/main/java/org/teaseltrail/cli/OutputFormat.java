package org.teaseltrail.cli;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.util.function.Supplier;

/** Says in which form answers are printed. */
enum OutputFormat {
  /** Sentences and tables for people. */
  TEXT {
    @Override
    String print(Message answer, Supplier<String> text) {
      return text.get();
    }
  },
  /** The server's answer as JSON, with the schema's own field names. */
  JSON {
    @Override
    String print(Message answer, Supplier<String> text) {
      try {
        return PRINTER.print(answer) + "\n";
      } catch (InvalidProtocolBufferException e) {
        throw new IllegalStateException("the schema has no field of type Any", e);
      }
    }
  };

  private static final JsonFormat.Printer PRINTER =
      JsonFormat.printer().preservingProtoFieldNames().includingDefaultValueFields();

  /**
   * Prints an answer.
   *
   * @param answer the server's answer
   * @param text makes the form for people
   * @return the text, with its line ends
   */
  abstract String print(Message answer, Supplier<String> text);
}
