package org.teaseltrail.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.teaseltrail.core.forward.AttemptOutcome;

/** Hears what becomes of one request that was sent to an upstream. One end is told, once. */
interface UpstreamCall {

  /** Returns the id that the answer must carry. */
  String requestId();

  /** The head of the answer has come. */
  void head(HttpResponse head, AnswerHead read);

  /** A part of the answer's body has come; the call doesn't keep the buffer. */
  void body(ByteBuf part);

  /** All that has come until now was told; more may come later. */
  void partsRead();

  /** The answer is whole. */
  void complete();

  /** There will be no whole answer. */
  void failed(AttemptOutcome end);
}
