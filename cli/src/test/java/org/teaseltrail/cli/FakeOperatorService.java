package org.teaseltrail.cli;

import com.google.protobuf.Message;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.teaseltrail.api.v1.ApplyChangeRequest;
import org.teaseltrail.api.v1.ApplyChangeResponse;
import org.teaseltrail.api.v1.AwaitInForceRequest;
import org.teaseltrail.api.v1.AwaitInForceResponse;
import org.teaseltrail.api.v1.ChangeMembersRequest;
import org.teaseltrail.api.v1.ChangeMembersResponse;
import org.teaseltrail.api.v1.GetConfigurationRequest;
import org.teaseltrail.api.v1.GetConfigurationResponse;
import org.teaseltrail.api.v1.GetStatusRequest;
import org.teaseltrail.api.v1.GetStatusResponse;
import org.teaseltrail.api.v1.ListDecisionsRequest;
import org.teaseltrail.api.v1.ListDecisionsResponse;
import org.teaseltrail.api.v1.OperatorGrpc.OperatorImplBase;
import org.teaseltrail.api.v1.OrderEngineRequest;
import org.teaseltrail.api.v1.OrderEngineResponse;

/** Fake control member that returns queued responses in order and records the requests. */
final class FakeOperatorService extends OperatorImplBase {

  private final Deque<Message> answers = new ArrayDeque<>();
  private final List<Message> requests = new ArrayList<>();
  private Optional<Status> failure = Optional.empty();

  FakeOperatorService enqueueAnswer(Message answer) {
    answers.add(answer);
    return this;
  }

  /** Makes every subsequent call fail. */
  void failWith(Status status) {
    failure = Optional.of(status);
  }

  List<Message> requests() {
    return requests;
  }

  @Override
  public void applyChange(
      ApplyChangeRequest request, StreamObserver<ApplyChangeResponse> responseObserver) {
    reply(request, responseObserver, ApplyChangeResponse.class);
  }

  @Override
  public void getConfiguration(
      GetConfigurationRequest request, StreamObserver<GetConfigurationResponse> responseObserver) {
    reply(request, responseObserver, GetConfigurationResponse.class);
  }

  @Override
  public void awaitInForce(
      AwaitInForceRequest request, StreamObserver<AwaitInForceResponse> responseObserver) {
    reply(request, responseObserver, AwaitInForceResponse.class);
  }

  @Override
  public void getStatus(
      GetStatusRequest request, StreamObserver<GetStatusResponse> responseObserver) {
    reply(request, responseObserver, GetStatusResponse.class);
  }

  @Override
  public void listDecisions(
      ListDecisionsRequest request, StreamObserver<ListDecisionsResponse> responseObserver) {
    reply(request, responseObserver, ListDecisionsResponse.class);
  }

  @Override
  public void changeMembers(
      ChangeMembersRequest request, StreamObserver<ChangeMembersResponse> responseObserver) {
    reply(request, responseObserver, ChangeMembersResponse.class);
  }

  @Override
  public void orderEngine(
      OrderEngineRequest request, StreamObserver<OrderEngineResponse> responseObserver) {
    reply(request, responseObserver, OrderEngineResponse.class);
  }

  private <T extends Message> void reply(
      Message request, StreamObserver<T> responseObserver, Class<T> type) {
    requests.add(request);
    if (failure.isPresent()) {
      responseObserver.onError(failure.get().asRuntimeException());
      return;
    }
    responseObserver.onNext(type.cast(answers.remove()));
    responseObserver.onCompleted();
  }
}
