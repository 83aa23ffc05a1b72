package org.teaseltrail.entry;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.teaseltrail.core.id.ServiceId;

/**
 * A caller's request to a plain service.
 *
 * @param service the service
 * @param method the HTTP method
 * @param pathAndQuery the request URI for the service
 * @param headers the caller's headers
 * @param body the body
 */
record ServiceRequest(
    ServiceId service, HttpMethod method, String pathAndQuery, HttpHeaders headers, byte[] body) {

  /** Returns the digest that identifies equal requests. */
  String digest() {
    return Sha256Hex.ofParts(method + "\n" + service + "\n" + pathAndQuery, body);
  }
}
