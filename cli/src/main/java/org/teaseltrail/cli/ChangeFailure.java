package org.teaseltrail.cli;

import java.util.Locale;
import java.util.stream.Collectors;
import org.teaseltrail.api.v1.ApplyChangeResponse;
import org.teaseltrail.api.v1.EntityRef;
import org.teaseltrail.api.v1.InvalidReason;
import org.teaseltrail.runtime.process.ExitCode;

/**
 * Reason why a change was not accepted.
 *
 * @param exitCode the exit code of the command
 * @param message the message shown to the operator
 */
record ChangeFailure(ExitCode exitCode, String message) {

  /**
   * Converts a response to a failure.
   *
   * @param response a response other than accepted
   * @return the failure
   */
  static ChangeFailure of(ApplyChangeResponse response) {
    return switch (response.getResultCase()) {
      case CONFLICT ->
          new ChangeFailure(
              ExitCode.CONFLICT,
              "conflict: the configuration is at revision "
                  + response.getConflict().getPresentRevision());
      case INVALID -> invalid(response);
      case CHANGE_ID_REUSED ->
          new ChangeFailure(
              ExitCode.CHANGE_ID_REUSED, "the change id was used before for another change");
      case REGION_UNREACHABLE ->
          new ChangeFailure(
              ExitCode.REGION_UNREACHABLE,
              "region " + response.getRegionUnreachable().getRegion() + " can't be reached");
      case OUTCOME_UNKNOWN ->
          new ChangeFailure(
              ExitCode.TIMEOUT, "not known whether it is accepted; send it again under its id");
      default -> new ChangeFailure(ExitCode.INTERNAL, "the server gave an unknown answer");
    };
  }

  private static ChangeFailure invalid(ApplyChangeResponse response) {
    String reasons =
        response.getInvalid().getReasonsList().stream()
            .map(ChangeFailure::describe)
            .collect(Collectors.joining("; "));
    boolean onlyNotFound =
        response.getInvalid().getReasonsList().stream()
            .allMatch(reason -> reason.getKind() == InvalidReason.Kind.NOT_FOUND);
    ExitCode exitCode = onlyNotFound ? ExitCode.NOT_FOUND : ExitCode.INVALID;
    return new ChangeFailure(exitCode, "invalid: " + reasons);
  }

  private static String describe(InvalidReason reason) {
    StringBuilder text = new StringBuilder(words(reason.getKind()));
    if (reason.hasEntity()) {
      text.append(": ").append(describe(reason.getEntity()));
    }
    if (reason.hasOther()) {
      text.append(" (").append(describe(reason.getOther())).append(')');
    }
    if (reason.hasRule()) {
      text.append(" breaks ").append(reason.getRule());
    }
    return text.toString();
  }

  private static String describe(EntityRef entity) {
    return words(entity.getKind()) + " " + entity.getId();
  }

  private static String words(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
