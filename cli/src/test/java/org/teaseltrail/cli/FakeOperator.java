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

/** Is a control member that gives the answers put to it, in order, and keeps what it was asked. */
final class FakeOperator extends OperatorImplBase {

  private final Deque<Message> answers = new ArrayDeque<>();
  private final List<Message> requests = new ArrayList<>();
  private Optional<Status> failure = Optional.empty();

  FakeOperator answer(Message answer) {
    answers.add(answer);
    return this;
  }

  /** Fails every call from now on. */
  void failWith(Status status) {
    failure = Optional.of(status);
  }

  List<Message> requests() {
    return requests;
  }

  @Override
  public void applyChange(ApplyChangeRequest request, StreamObserver<ApplyChangeResponse> caller) {
    reply(request, caller, ApplyChangeResponse.class);
  }

  @Override
  public void getConfiguration(
      GetConfigurationRequest request, StreamObserver<GetConfigurationResponse> caller) {
    reply(request, caller, GetConfigurationResponse.class);
  }

  @Override
  public void awaitInForce(
      AwaitInForceRequest request, StreamObserver<AwaitInForceResponse> caller) {
    reply(request, caller, AwaitInForceResponse.class);
  }

  @Override
  public void getStatus(GetStatusRequest request, StreamObserver<GetStatusResponse> caller) {
    reply(request, caller, GetStatusResponse.class);
  }

  @Override
  public void listDecisions(
      ListDecisionsRequest request, StreamObserver<ListDecisionsResponse> caller) {
    reply(request, caller, ListDecisionsResponse.class);
  }

  @Override
  public void changeMembers(
      ChangeMembersRequest request, StreamObserver<ChangeMembersResponse> caller) {
    reply(request, caller, ChangeMembersResponse.class);
  }

  @Override
  public void orderEngine(OrderEngineRequest request, StreamObserver<OrderEngineResponse> caller) {
    reply(request, caller, OrderEngineResponse.class);
  }

  private <T extends Message> void reply(Message request, StreamObserver<T> caller, Class<T> type) {
    requests.add(request);
    if (failure.isPresent()) {
      caller.onError(failure.get().asRuntimeException());
      return;
    }
    caller.onNext(type.cast(answers.remove()));
    caller.onCompleted();
  }
}
