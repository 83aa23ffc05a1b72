package org.teaseltrail.cli;

import com.google.protobuf.Message;
import java.io.PrintStream;
import java.util.function.Supplier;

/**
 * Is what a command works with.
 *
 * @param client calls the leader
 * @param format how answers are printed
 * @param out where answers go
 * @param err where failures go
 */
record CommandContext(
    OperatorClient client, OutputFormat format, PrintStream out, PrintStream err) {

  /**
   * Prints an answer.
   *
   * @param answer the server's answer
   * @param text makes the form for people
   */
  void show(Message answer, Supplier<String> text) {
    out.print(format.print(answer, text));
  }

  /**
   * Prints an answer that tells of a failure: as JSON to the answers, as a sentence to the
   * failures.
   *
   * @param answer the server's answer
   * @param sentence what an operator reads
   */
  void showFailure(Message answer, String sentence) {
    if (format == OutputFormat.JSON) {
      show(answer, () -> sentence);
    }
    err.println("teaseltrail: " + sentence);
  }
}
