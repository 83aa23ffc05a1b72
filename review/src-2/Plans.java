import java.util.*;

/** Configurations of the cases, with the fields of PROTOCOL.md. */
final class Plans {
  static String route(String name, String prefix, String kind, String service, int timeoutMs, boolean open) {
    return ("{\"name\":\"%s\",\"host\":\"calls.example\",\"pathPrefix\":\"%s\",\"kind\":\"%s\","
            + "\"timeoutMs\":%d,\"targetLatencyMs\":1500,\"priority\":0,\"service\":\"%s\","
            + "\"maxAttempts\":1,\"public\":%s,\"sessionAffinity\":false,\"resumable\":false}")
        .formatted(name, prefix, kind, timeoutMs, service, open);
  }

  static String plan(long version, List<String> routes, List<String> services, String tenants) {
    StringBuilder named = new StringBuilder();
    for (String service : services) {
      named.append(named.length() == 0 ? "" : ",");
      named.append(
          ("{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConnections\":110,"
                  + "\"protocol\":\"h1\",\"tls\":false}")
              .formatted(service));
    }
    return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
        + "],\"services\":[" + named + "],\"limits\":{\"maxHeaderBytes\":16384,"
        + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}"
        + (tenants == null ? "" : ",\"tenants\":" + tenants) + "}";
  }

  /** The head of a client's request. */
  static byte[] request(String method, String target, String id, String key, int deadlineMs, int bodyBytes) {
    return (method + " " + target + " HTTP/1.1\r\nHost: calls.example\r\nX-Teaseltrail-Request-Id: "
            + id + "\r\nX-Teaseltrail-Deadline-Ms: " + deadlineMs + "\r\n"
            + (key == null ? "" : "X-Teaseltrail-Key: " + key + "\r\n")
            + (method.equals("GET") ? "" : "Content-Length: " + bodyBytes + "\r\n") + "\r\n")
        .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
  }
}
