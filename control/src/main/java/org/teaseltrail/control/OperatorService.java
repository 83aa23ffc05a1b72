package org.teaseltrail.control;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
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
import org.teaseltrail.api.v1.InForce;
import org.teaseltrail.api.v1.ListDecisionsRequest;
import org.teaseltrail.api.v1.ListDecisionsResponse;
import org.teaseltrail.api.v1.MembersChanged;
import org.teaseltrail.api.v1.OperatorGrpc;
import org.teaseltrail.api.v1.OrderEngineRequest;
import org.teaseltrail.api.v1.OrderEngineResponse;
import org.teaseltrail.api.v1.OutcomeUnknown;
import org.teaseltrail.core.control.OperatorRequest;
import org.teaseltrail.core.control.OperatorResult;
import org.teaseltrail.core.id.ChangeId;
import org.teaseltrail.core.id.InvalidIdException;
import org.teaseltrail.core.id.RegionId;
import org.teaseltrail.core.id.Revision;

/** The operator API's gRPC service; passes each call as a request to the member. */
final class OperatorService extends OperatorGrpc.OperatorImplBase {

  private final RegionId region;
  private final OperatorCallTracker calls;
  private final NotLeaderResponseFactory notLeaderResponses;

  OperatorService(
      RegionId region, OperatorCallTracker calls, NotLeaderResponseFactory notLeaderResponses) {
    this.region = region;
    this.calls = calls;
    this.notLeaderResponses = notLeaderResponses;
  }

  @Override
  public void applyChange(
      ApplyChangeRequest request, StreamObserver<ApplyChangeResponse> observer) {
    OperatorRequest change;
    try {
      change = change(request);
    } catch (InvalidIdException e) {
      observer.onNext(ChangeResultConverter.malformed(e));
      observer.onCompleted();
      return;
    }
    answer(change, observer, this::applyChangeResponse);
  }

  @Override
  public void getConfiguration(
      GetConfigurationRequest request, StreamObserver<GetConfigurationResponse> observer) {
    answer(new OperatorRequest.ReadConfiguration(), observer, this::configuration);
  }

  @Override
  public void awaitInForce(
      AwaitInForceRequest request, StreamObserver<AwaitInForceResponse> observer) {
    Revision revision = new Revision(Math.max(0, request.getRevision()));
    answer(
        new OperatorRequest.AwaitInForce(revision, request.getWaitMs()), observer, this::inForce);
  }

  @Override
  public void getStatus(GetStatusRequest request, StreamObserver<GetStatusResponse> observer) {
    OperatorRequest read =
        request.getLocal()
            ? new OperatorRequest.ReadLocalStatus()
            : new OperatorRequest.ReadStatus();
    answer(read, observer, this::status);
  }

  @Override
  public void listDecisions(
      ListDecisionsRequest request, StreamObserver<ListDecisionsResponse> observer) {
    answer(new OperatorRequest.ReadDecisions(), observer, result -> decisions(result, request));
  }

  @Override
  public void changeMembers(
      ChangeMembersRequest request, StreamObserver<ChangeMembersResponse> observer) {
    OperatorRequest step;
    try {
      step = MembershipChangeConverter.fromProto(request);
    } catch (InvalidIdException e) {
      observer.onNext(MembershipChangeConverter.malformed());
      observer.onCompleted();
      return;
    }
    answer(step, observer, this::changeMembersResponse);
  }

  @Override
  public void orderEngine(
      OrderEngineRequest request, StreamObserver<OrderEngineResponse> observer) {
    OperatorRequest order;
    try {
      order = EngineOrderConverter.fromProto(request);
    } catch (InvalidIdException e) {
      observer.onNext(EngineOrderConverter.malformed());
      observer.onCompleted();
      return;
    }
    answer(order, observer, this::ordered);
  }

  private static OperatorRequest change(ApplyChangeRequest request) {
    Optional<Revision> expected =
        request.hasExpectedRevision()
            ? Optional.of(new Revision(request.getExpectedRevision()))
            : Optional.empty();
    return new OperatorRequest.Change(
        new ChangeId(request.getChangeId()),
        expected,
        request.getChangesList().stream().map(ConfigurationChangeConverter::fromProto).toList());
  }

  private <T> void answer(
      OperatorRequest request, StreamObserver<T> observer, Function<OperatorResult, T> writer) {
    CompletableFuture<T> answer = calls.call(request).thenApply(writer);
    answer.whenComplete(
        (response, failure) -> {
          if (failure != null) {
            observer.onError(Status.INTERNAL.withCause(failure).asRuntimeException());
            return;
          }
          observer.onNext(response);
          observer.onCompleted();
        });
  }

  private ApplyChangeResponse applyChangeResponse(OperatorResult result) {
    if (result instanceof OperatorResult.Changed changed) {
      return ChangeResultConverter.toProto(changed.result());
    }
    ApplyChangeResponse.Builder response = ApplyChangeResponse.newBuilder();
    if (result instanceof OperatorResult.NotLeader other) {
      return response.setNotLeader(notLeaderResponses.create(other.leader())).build();
    }
    return response.setOutcomeUnknown(OutcomeUnknown.getDefaultInstance()).build();
  }

  private GetConfigurationResponse configuration(OperatorResult result) {
    GetConfigurationResponse.Builder response = GetConfigurationResponse.newBuilder();
    if (result instanceof OperatorResult.ConfigurationRead read) {
      return response
          .setConfiguration(ConfigurationConverter.toProto(read.configuration()))
          .build();
    }
    return response.setNotLeader(notLeaderResponses.create(leaderOf(result))).build();
  }

  private AwaitInForceResponse inForce(OperatorResult result) {
    AwaitInForceResponse.Builder response = AwaitInForceResponse.newBuilder();
    if (result instanceof OperatorResult.InForce) {
      return response.setInForce(InForce.newBuilder().setEverywhere(true)).build();
    }
    if (result instanceof OperatorResult.NotInForce missing) {
      InForce.Builder written = InForce.newBuilder();
      missing.missing().forEach(vm -> written.addWaitingForVms(vm.value()));
      return response.setInForce(written).build();
    }
    return response.setNotLeader(notLeaderResponses.create(leaderOf(result))).build();
  }

  private GetStatusResponse status(OperatorResult result) {
    GetStatusResponse.Builder response = GetStatusResponse.newBuilder();
    if (result instanceof OperatorResult.StatusRead read) {
      return response.setStatus(StatusConverter.toProto(region, read.status())).build();
    }
    return response.setNotLeader(notLeaderResponses.create(leaderOf(result))).build();
  }

  private ListDecisionsResponse decisions(OperatorResult result, ListDecisionsRequest wanted) {
    ListDecisionsResponse.Builder response = ListDecisionsResponse.newBuilder();
    if (result instanceof OperatorResult.DecisionsRead read) {
      return response.setDecisions(DecisionConverter.toProto(read.decisions(), wanted)).build();
    }
    return response.setNotLeader(notLeaderResponses.create(leaderOf(result))).build();
  }

  private ChangeMembersResponse changeMembersResponse(OperatorResult result) {
    ChangeMembersResponse.Builder response = ChangeMembersResponse.newBuilder();
    if (result instanceof OperatorResult.MembersChanged changed) {
      MembersChanged members =
          MembersChanged.newBuilder()
              .addAllMembers(StatusConverter.members(changed.membership()))
              .build();
      return response.setChanged(members).build();
    }
    if (result instanceof OperatorResult.TransferStarted) {
      return response.setChanged(MembersChanged.getDefaultInstance()).build();
    }
    if (result instanceof OperatorResult.Rejected rejected) {
      return MembershipChangeConverter.rejected(rejected.reason());
    }
    if (result instanceof OperatorResult.NotLeader other) {
      return response.setNotLeader(notLeaderResponses.create(other.leader())).build();
    }
    return response.setOutcomeUnknown(OutcomeUnknown.getDefaultInstance()).build();
  }

  private OrderEngineResponse ordered(OperatorResult result) {
    if (result instanceof OperatorResult.OrderAnswered answered) {
      return EngineOrderConverter.toProto(answered);
    }
    if (result instanceof OperatorResult.OrderRejected rejected) {
      return EngineOrderConverter.toProto(rejected);
    }
    if (result instanceof OperatorResult.NotLeader other) {
      return OrderEngineResponse.newBuilder()
          .setNotLeader(notLeaderResponses.create(other.leader()))
          .build();
    }
    return EngineOrderConverter.unknown();
  }

  /**
   * Returns the known leader. If leadership was lost while a read was in flight, the result is the
   * same as when no leader is known.
   */
  private static Optional<org.teaseltrail.core.id.MemberId> leaderOf(OperatorResult result) {
    return result instanceof OperatorResult.NotLeader other ? other.leader() : Optional.empty();
  }
}
