package org.teaseltrail.cli;

import com.google.protobuf.Message;
import java.io.PrintStream;
import java.util.function.Supplier;

/**
 * Client and output streams that a command uses.
 *
 * @param client the client that calls the leader
 * @param format the output format
 * @param out the stream for responses
 * @param err the stream for error messages
 */
record CommandContext(
    OperatorClient client, OutputFormat format, PrintStream out, PrintStream err) {

  /**
   * Prints a response.
   *
   * @param response the server's response
   * @param text supplies the human-readable form
   */
  void print(Message response, Supplier<String> text) {
    out.print(format.print(response, text));
  }

  /**
   * Prints a response that reports a failure: as a message to the error stream and, if the output
   * format is JSON, also as JSON to the output stream.
   *
   * @param response the server's response
   * @param sentence the message shown to the operator
   */
  void printFailure(Message response, String sentence) {
    if (format == OutputFormat.JSON) {
      print(response, () -> sentence);
    }
    err.println("teaseltrail: " + sentence);
  }
}
