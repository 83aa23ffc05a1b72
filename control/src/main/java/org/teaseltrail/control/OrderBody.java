package org.teaseltrail.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.teaseltrail.core.control.EngineOrder;

/**
 * Is an order in the engines' protocol.
 *
 * @param order what to do
 * @param model the model
 * @param version its version
 * @param adapter the adapter, if the order names one
 * @param fencingNumber the leadership that orders
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record OrderBody(
    String order,
    String model,
    String version,
    String adapter,
    @JsonProperty("fencing_number") long fencingNumber) {

  static OrderBody of(EngineOrder order) {
    return new OrderBody(
        order.kind().wireName(),
        order.target().model().value(),
        order.target().version().value(),
        order.adapter().map(adapter -> adapter.value()).orElse(null),
        order.fencing().value());
  }
}
