package org.teaseltrail.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.teaseltrail.core.control.EngineOrder;
import org.teaseltrail.core.control.OrderContent;

/**
 * Is an order in the engines' protocol.
 *
 * @param order what to do
 * @param model the model, if the order is about one
 * @param version its version
 * @param adapter the adapter, if the order names one
 * @param role the role to take, if the order is about one
 * @param fencingNumber the leadership that orders
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record OrderBody(
    String order,
    String model,
    String version,
    String adapter,
    String role,
    @JsonProperty("fencing_number") long fencingNumber) {

  static OrderBody of(EngineOrder order) {
    OrderContent content = order.content();
    return new OrderBody(
        content.kind().wireName(),
        content.target().map(target -> target.model().value()).orElse(null),
        content.target().map(target -> target.version().value()).orElse(null),
        order.adapter().map(adapter -> adapter.value()).orElse(null),
        content.role().map(Enum::name).orElse(null),
        order.fencing().value());
  }
}
