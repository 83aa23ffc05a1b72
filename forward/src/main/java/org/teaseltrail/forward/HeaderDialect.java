package org.teaseltrail.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.quarantine.RequestContent;

/** Translates between the headers of an outside platform and the types of this program. */
public interface HeaderDialect {

  /**
   * Reads a caller's request.
   *
   * @param number the number it gets within this process
   * @param head its head
   * @param content what it asks for
   * @return what decides about it
   * @throws MalformedRequestException if a header can't be read
   */
  ForwardRequest readRequest(long number, HttpRequest head, RequestContent content)
      throws MalformedRequestException;

  /**
   * Takes out of a request's headers what callers may not set, and adds what upstreams are told.
   *
   * @param headers the caller's headers, to be changed
   * @param call what upstreams are told
   */
  void writeCall(HttpHeaders headers, CallHeaders call);

  /**
   * Reads the head of an upstream's answer.
   *
   * @param head the head
   * @return what decides about the answer
   */
  AnswerHead readAnswer(HttpResponse head);

  /**
   * Writes the headers of an answer of this system's own.
   *
   * @param headers the headers, to be filled
   * @param requestId the caller's id, empty if it gave none
   * @param retryAfterMs when the caller may come back, in milliseconds; 0 if no time can be told
   */
  void writeRefusal(HttpHeaders headers, String requestId, long retryAfterMs);
}
