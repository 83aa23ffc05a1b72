package org.teaseltrail.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.teaseltrail.core.forward.AttemptOutcome;

/** Listener that keeps the answer to one request. */
final class ReceivedAnswer implements UpstreamResponseListener {

  private final String id;
  private final Runnable onCompleted;
  private final StringBuilder received = new StringBuilder();
  private Optional<String> whole = Optional.empty();
  private int ends;

  ReceivedAnswer(String id, Runnable onCompleted) {
    this.id = id;
    this.onCompleted = onCompleted;
  }

  /** Returns status, mark and body of the answer that completed the request, if one did. */
  Optional<String> whole() {
    return whole;
  }

  boolean hasEnded() {
    return ends > 0;
  }

  boolean hasEndedTwice() {
    return ends > 1;
  }

  @Override
  public String requestId() {
    return id;
  }

  @Override
  public void headReceived(HttpResponse head, ResponseHead read) {
    String mark = head.headers().get(AnswerText.MARK);
    received.append(head.status().code()).append(' ').append(mark).append(' ');
  }

  @Override
  public void bodyReceived(ByteBuf part) {
    received.append(part.toString(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void readCompleted() {}

  @Override
  public void completed() {
    ends++;
    whole = Optional.of(received.toString());
    onCompleted.run();
  }

  @Override
  public void failed(AttemptOutcome outcome) {
    ends++;
  }
}
