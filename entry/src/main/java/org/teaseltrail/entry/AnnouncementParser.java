package org.teaseltrail.entry;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.teaseltrail.core.id.AdapterId;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ModelId;
import org.teaseltrail.core.id.ModelVersion;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.Announcement;
import org.teaseltrail.core.upstream.CacheEvent;
import org.teaseltrail.core.upstream.LoadReport;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.SocketAddress;
import org.teaseltrail.core.upstream.UpstreamPhase;
import org.teaseltrail.core.upstream.UpstreamRole;

/** Parses the announcements and cache events that upstreams post. */
final class AnnouncementParser {

  private static final int MAX_PORT = 65_535;

  private AnnouncementParser() {}

  /**
   * Parses an announcement.
   *
   * @throws RefusedRequestException if a field is missing or has a wrong type or value
   */
  static Announcement announcement(byte[] body) {
    JsonObjectReader fields = fields(body);
    return new Announcement(
        fields.id("upstream", UpstreamId::new),
        incarnation(fields),
        count(fields, "sequence"),
        address(fields.fields("address")),
        fields.id("data_center", DataCenterId::new),
        enumConstant(fields, "role", UpstreamRole.class),
        enumConstant(fields, "phase", UpstreamPhase.class),
        fields.objects("models").stream().map(AnnouncementParser::model).toList(),
        fields.optionalId("service", ServiceId::new),
        (int) fields.number("max_batch", 0, Integer.MAX_VALUE),
        count(fields, "cache_tokens"),
        load(fields.fields("load")),
        count(fields, "lifetime_ms"));
  }

  /**
   * Parses a cache event.
   *
   * @throws RefusedRequestException if a field is missing or has a wrong type or value
   */
  static CacheEvent cacheEvent(byte[] body) {
    JsonObjectReader fields = fields(body);
    return new CacheEvent(
        fields.id("upstream", UpstreamId::new),
        incarnation(fields),
        count(fields, "sequence"),
        fields.numbers("stored_blocks"),
        fields.numbers("removed_blocks"));
  }

  private static JsonObjectReader fields(byte[] body) {
    try {
      return new JsonObjectReader(JsonCodec.readObject(body));
    } catch (IOException e) {
      throw new RefusedRequestException(
          ProblemKind.MALFORMED_REQUEST, "the body is not one JSON object");
    }
  }

  private static Incarnation incarnation(JsonObjectReader fields) {
    return new Incarnation(count(fields, "incarnation"));
  }

  private static long count(JsonObjectReader fields, String name) {
    return fields.number(name, 0, Long.MAX_VALUE);
  }

  private static SocketAddress address(JsonObjectReader fields) {
    return new SocketAddress(fields.text("host"), (int) fields.number("port", 1, MAX_PORT));
  }

  private static <E extends Enum<E>> E enumConstant(
      JsonObjectReader fields, String name, Class<E> type) {
    String text = fields.text(name).toUpperCase(Locale.ROOT);
    try {
      return Enum.valueOf(type, text);
    } catch (IllegalArgumentException e) {
      throw new RefusedRequestException(
          ProblemKind.MALFORMED_REQUEST,
          name + " must be one of " + List.of(type.getEnumConstants()));
    }
  }

  private static ServedModel model(JsonObjectReader fields) {
    Set<AdapterId> adapters = new HashSet<>();
    fields.texts("adapters").forEach(text -> adapters.add(new AdapterId(text)));
    return new ServedModel(
        fields.id("model", ModelId::new), fields.id("version", ModelVersion::new), adapters);
  }

  private static LoadReport load(JsonObjectReader fields) {
    return new LoadReport(
        (int) fields.number("running_requests", 0, Integer.MAX_VALUE),
        (int) fields.number("queued_requests", 0, Integer.MAX_VALUE),
        count(fields, "queued_prefill_tokens"),
        fields.decimal("step_ms"),
        fields.decimal("cache_used_fraction"),
        count(fields, "age_ms"));
  }
}
