package org.teaseltrail.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.teaseltrail.core.control.EngineOrder;
import org.teaseltrail.core.control.OrderContent;

/**
 * JSON request body of an order in the engines' protocol.
 *
 * @param order kind of the order
 * @param model model that the order refers to, or null
 * @param version version of the model, or null
 * @param adapter adapter that the order refers to, or null
 * @param role role that the engine takes, or null
 * @param fencingNumber fencing number of the leadership that sends the order
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record EngineOrderBody(
    String order,
    String model,
    String version,
    String adapter,
    String role,
    @JsonProperty("fencing_number") long fencingNumber) {

  static EngineOrderBody of(EngineOrder order) {
    OrderContent content = order.content();
    return new EngineOrderBody(
        content.kind().wireName(),
        content.target().map(target -> target.model().value()).orElse(null),
        content.target().map(target -> target.version().value()).orElse(null),
        order.adapter().map(adapter -> adapter.value()).orElse(null),
        content.role().map(Enum::name).orElse(null),
        order.fencing().value());
  }
}
