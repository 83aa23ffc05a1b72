package org.teaseltrail.control;

import java.util.Arrays;
import org.teaseltrail.api.v1.OrderAccepted;
import org.teaseltrail.api.v1.OrderEngineRequest;
import org.teaseltrail.api.v1.OrderEngineResponse;
import org.teaseltrail.api.v1.OrderRejected;
import org.teaseltrail.api.v1.OutcomeUnknown;
import org.teaseltrail.core.control.OperatorRequest;
import org.teaseltrail.core.control.OperatorResult;
import org.teaseltrail.core.control.OrderContent;
import org.teaseltrail.core.control.OrderKind;
import org.teaseltrail.core.id.InvalidIdException;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.upstream.UpstreamRole;

/** Converts engine orders and their results between the domain and the operator API. */
final class EngineOrderConverter {

  private EngineOrderConverter() {}

  /**
   * Converts an order.
   *
   * @throws InvalidIdException if a required field is missing or invalid
   */
  static OperatorRequest fromProto(OrderEngineRequest request) {
    OrderContent content =
        switch (request.getOrderCase()) {
          case LOAD_MODEL ->
              OrderContent.of(
                  OrderKind.LOAD_MODEL, ConfigurationChangeConverter.model(request.getLoadModel()));
          case UNLOAD_MODEL ->
              OrderContent.of(
                  OrderKind.UNLOAD_MODEL,
                  ConfigurationChangeConverter.model(request.getUnloadModel()));
          case LOAD_ADAPTER ->
              OrderContent.of(
                  OrderKind.LOAD_ADAPTER,
                  ConfigurationChangeConverter.model(request.getLoadAdapter()));
          case CHANGE_ROLE -> OrderContent.of(role(request.getChangeRole()));
          case ORDER_NOT_SET -> throw new InvalidIdException("order", "is missing");
        };
    return new OperatorRequest.OrderEngine(new UpstreamId(request.getUpstream()), content);
  }

  static OrderEngineResponse toProto(OperatorResult.OrderAnswered answered) {
    return switch (answered.outcome()) {
      case ACCEPTED ->
          OrderEngineResponse.newBuilder()
              .setAccepted(OrderAccepted.newBuilder().setFencingNumber(answered.fencing().value()))
              .build();
      case REFUSED_OLD_FENCING -> rejected(OrderRejected.Reason.FENCED);
      case REFUSED -> rejected(OrderRejected.Reason.REFUSED);
      case UNREACHABLE -> unknown();
    };
  }

  static OrderEngineResponse toProto(OperatorResult.OrderRejected rejected) {
    return rejected(OrderRejected.Reason.valueOf(rejected.reason().name()));
  }

  static OrderEngineResponse malformed() {
    return rejected(OrderRejected.Reason.MALFORMED);
  }

  static OrderEngineResponse unknown() {
    return OrderEngineResponse.newBuilder()
        .setOutcomeUnknown(OutcomeUnknown.getDefaultInstance())
        .build();
  }

  private static OrderEngineResponse rejected(OrderRejected.Reason reason) {
    return OrderEngineResponse.newBuilder()
        .setRejected(OrderRejected.newBuilder().setReason(reason))
        .build();
  }

  private static UpstreamRole role(String name) {
    return Arrays.stream(UpstreamRole.values())
        .filter(role -> role.name().equalsIgnoreCase(name))
        .findFirst()
        .orElseThrow(() -> new InvalidIdException("role", "is unknown"));
  }
}
