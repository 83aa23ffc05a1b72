package org.teaseltrail.control;

import java.util.Optional;
import org.teaseltrail.api.v1.ChangeMembersRequest;
import org.teaseltrail.api.v1.ChangeMembersResponse;
import org.teaseltrail.api.v1.MemberChangeRejected;
import org.teaseltrail.core.control.OperatorRequest;
import org.teaseltrail.core.id.InvalidIdException;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.MembershipChange;
import org.teaseltrail.core.replication.ProposalRejection;

/** Converts membership changes and their results between the domain and the operator API. */
final class MembershipChangeConverter {

  private MembershipChangeConverter() {}

  /**
   * Converts one step of a membership change.
   *
   * @throws InvalidIdException if an id is missing or invalid
   */
  static OperatorRequest fromProto(ChangeMembersRequest request) {
    return switch (request.getStepCase()) {
      case ADD_LEARNER -> change(new MembershipChange.AddLearner(learner(request)));
      case PROMOTE ->
          change(new MembershipChange.PromoteLearner(new MemberId(request.getPromote())));
      case REMOVE -> change(new MembershipChange.RemoveMember(new MemberId(request.getRemove())));
      case TRANSFER -> new OperatorRequest.TransferLeadership(successor(request.getTransfer()));
      case STEP_NOT_SET -> throw new InvalidIdException("step", "is missing");
    };
  }

  static ChangeMembersResponse rejected(ProposalRejection reason) {
    // A member that no longer leads replies with NotLeader before this point.
    MemberChangeRejected.Reason written =
        reason == ProposalRejection.NOT_LEADER
            ? MemberChangeRejected.Reason.LEADER_NOT_READY
            : MemberChangeRejected.Reason.valueOf(reason.name());
    return response(written);
  }

  static ChangeMembersResponse malformed() {
    return response(MemberChangeRejected.Reason.MALFORMED);
  }

  private static ChangeMembersResponse response(MemberChangeRejected.Reason reason) {
    return ChangeMembersResponse.newBuilder()
        .setRejected(MemberChangeRejected.newBuilder().setReason(reason))
        .build();
  }

  private static Member learner(ChangeMembersRequest request) {
    return new Member(
        new MemberId(request.getAddLearner().getId()), new VmId(request.getAddLearner().getVm()));
  }

  private static OperatorRequest change(MembershipChange change) {
    return new OperatorRequest.ChangeMembers(change);
  }

  private static Optional<MemberId> successor(String id) {
    return id.isEmpty() ? Optional.empty() : Optional.of(new MemberId(id));
  }
}
