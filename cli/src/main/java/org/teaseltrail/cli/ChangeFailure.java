package org.teaseltrail.cli;

import java.util.Locale;
import java.util.stream.Collectors;
import org.teaseltrail.api.v1.ApplyChangeResponse;
import org.teaseltrail.api.v1.EntityRef;
import org.teaseltrail.api.v1.InvalidReason;
import org.teaseltrail.runtime.process.ExitCode;

/**
 * Says why a change was not accepted.
 *
 * @param exitCode the kind of failure
 * @param sentence what an operator reads
 */
record ChangeFailure(ExitCode exitCode, String sentence) {

  /**
   * Reads the failure from an answer.
   *
   * @param answer an answer that is not accepted
   * @return the failure
   */
  static ChangeFailure of(ApplyChangeResponse answer) {
    return switch (answer.getResultCase()) {
      case CONFLICT ->
          new ChangeFailure(
              ExitCode.CONFLICT,
              "conflict: the configuration is at revision "
                  + answer.getConflict().getPresentRevision());
      case INVALID -> invalid(answer);
      case CHANGE_ID_REUSED ->
          new ChangeFailure(
              ExitCode.CHANGE_ID_REUSED, "the change id was used before for another change");
      case REGION_UNREACHABLE ->
          new ChangeFailure(
              ExitCode.REGION_UNREACHABLE,
              "region " + answer.getRegionUnreachable().getRegion() + " can't be reached");
      case OUTCOME_UNKNOWN ->
          new ChangeFailure(
              ExitCode.TIMEOUT, "not known whether it is accepted; send it again under its id");
      default -> new ChangeFailure(ExitCode.INTERNAL, "the server gave an unknown answer");
    };
  }

  private static ChangeFailure invalid(ApplyChangeResponse answer) {
    String reasons =
        answer.getInvalid().getReasonsList().stream()
            .map(ChangeFailure::describe)
            .collect(Collectors.joining("; "));
    boolean onlyMissing =
        answer.getInvalid().getReasonsList().stream()
            .allMatch(reason -> reason.getKind() == InvalidReason.Kind.NOT_FOUND);
    ExitCode exitCode = onlyMissing ? ExitCode.NOT_FOUND : ExitCode.INVALID;
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
