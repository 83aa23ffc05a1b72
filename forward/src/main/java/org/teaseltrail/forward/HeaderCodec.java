package org.teaseltrail.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseltrail.core.forward.ForwardRequest;
import org.teaseltrail.core.quarantine.RequestContent;

/** Translates between the HTTP headers of an external platform and the types of this program. */
public interface HeaderCodec {

  /**
   * Reads the head of a caller's request.
   *
   * @param number number of the request, unique within this process
   * @param head head of the request
   * @param content content of the request, for its fingerprint
   * @return the properties by which the request is forwarded
   * @throws MalformedRequestException if a header is malformed
   */
  ForwardRequest readRequest(long number, HttpRequest head, RequestContent content)
      throws MalformedRequestException;

  /**
   * Reads how long the caller of a request waits, from a head whose body hasn't arrived yet.
   *
   * @param head head of the request
   * @return the time in milliseconds; empty if the head names none or it is malformed
   */
  OptionalLong readDeadlineMs(HttpRequest head);

  /**
   * Removes the headers that callers may not set and adds the metadata for the upstream.
   *
   * @param headers the caller's headers, modified in place
   * @param call the metadata for the upstream
   */
  void writeUpstreamHeaders(HttpHeaders headers, UpstreamCallMetadata call);

  /**
   * Replaces the id of the last event that the caller has received, in a request that is relayed to
   * a peer. All other headers are relayed as the caller sent them.
   *
   * @param headers the caller's headers, modified in place
   * @param lastEventId id of the last event forwarded by this VM; if empty, nothing is replaced
   */
  void writeResumption(HttpHeaders headers, Optional<String> lastEventId);

  /**
   * Reads the head of an upstream's response.
   *
   * @param head the head
   * @return the properties by which the response is handled
   */
  ResponseHead readResponseHead(HttpResponse head);

  /**
   * Writes the headers of a local reply that refuses a request.
   *
   * @param headers the headers to add to
   * @param requestId id that the caller gave to the request, empty if there is none
   * @param retryAfterMs time after which the caller may retry, in milliseconds; 0 if it is unknown
   */
  void writeRefusalHeaders(HttpHeaders headers, String requestId, long retryAfterMs);
}
