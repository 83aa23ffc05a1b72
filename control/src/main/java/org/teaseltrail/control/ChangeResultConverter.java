package org.teaseltrail.control;

import org.teaseltrail.api.v1.Accepted;
import org.teaseltrail.api.v1.ApplyChangeResponse;
import org.teaseltrail.api.v1.ChangeIdReused;
import org.teaseltrail.api.v1.EntityRef;
import org.teaseltrail.api.v1.Invalid;
import org.teaseltrail.api.v1.InvalidReason;
import org.teaseltrail.api.v1.RevisionConflict;
import org.teaseltrail.core.configuration.ConfigurationFailure;
import org.teaseltrail.core.configuration.EntityKind;
import org.teaseltrail.core.id.InvalidIdException;
import org.teaseltrail.core.state.ChangeResult;

/** Converts the result of a configuration change to a protobuf message of the operator API. */
final class ChangeResultConverter {

  private ChangeResultConverter() {}

  static ApplyChangeResponse toProto(ChangeResult result) {
    ApplyChangeResponse.Builder response = ApplyChangeResponse.newBuilder();
    if (result instanceof ChangeResult.Accepted accepted) {
      response.setAccepted(Accepted.newBuilder().setRevision(accepted.revision().value()));
    } else if (result instanceof ChangeResult.RevisionConflict conflict) {
      response.setConflict(
          RevisionConflict.newBuilder().setPresentRevision(conflict.present().value()));
    } else if (result instanceof ChangeResult.ChangeIdConflict reused) {
      response.setChangeIdReused(ChangeIdReused.newBuilder().setChangeId(reused.change().value()));
    } else if (result instanceof ChangeResult.Refused refused) {
      response.setInvalid(Invalid.newBuilder().addReasons(reason(refused.failure())));
    }
    return response.build();
  }

  static ApplyChangeResponse malformed(InvalidIdException failure) {
    InvalidReason reason =
        InvalidReason.newBuilder()
            .setKind(InvalidReason.Kind.MALFORMED)
            .setRule(failure.getMessage())
            .build();
    return ApplyChangeResponse.newBuilder()
        .setInvalid(Invalid.newBuilder().addReasons(reason))
        .build();
  }

  private static InvalidReason reason(ConfigurationFailure failure) {
    InvalidReason.Builder reason = InvalidReason.newBuilder();
    if (failure instanceof ConfigurationFailure.EmptyChange) {
      reason.setKind(InvalidReason.Kind.EMPTY_CHANGE);
    } else if (failure instanceof ConfigurationFailure.NotFound missing) {
      reason.setKind(InvalidReason.Kind.NOT_FOUND).setEntity(ref(missing.entity()));
    } else if (failure instanceof ConfigurationFailure.MissingReference reference) {
      reason
          .setKind(InvalidReason.Kind.MISSING_REFERENCE)
          .setEntity(ref(reference.from()))
          .setOther(ref(reference.missing()));
    } else if (failure instanceof ConfigurationFailure.InUse use) {
      reason
          .setKind(InvalidReason.Kind.IN_USE)
          .setEntity(ref(use.entity()))
          .setOther(ref(use.usedBy()));
    } else if (failure instanceof ConfigurationFailure.Duplicate duplicate) {
      reason
          .setKind(InvalidReason.Kind.DUPLICATE)
          .setEntity(ref(duplicate.entity()))
          .setOther(ref(duplicate.other()));
    } else if (failure instanceof ConfigurationFailure.InvalidValue invalid) {
      reason
          .setKind(InvalidReason.Kind.INVALID_VALUE)
          .setEntity(ref(invalid.entity()))
          .setRule(invalid.rule().name());
    }
    return reason.build();
  }

  private static EntityRef ref(org.teaseltrail.core.configuration.EntityRef entity) {
    return EntityRef.newBuilder().setKind(kind(entity.kind())).setId(entity.name()).build();
  }

  private static EntityRef.Kind kind(EntityKind kind) {
    return switch (kind) {
      case TIER -> EntityRef.Kind.TIER;
      case CUSTOMER -> EntityRef.Kind.CUSTOMER;
      case POOL -> EntityRef.Kind.POOL;
      case ROUTE -> EntityRef.Kind.ROUTE;
      case UPSTREAM -> EntityRef.Kind.UPSTREAM;
    };
  }
}
