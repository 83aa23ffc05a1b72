package org.teaseltrail.control;

import org.teaseltrail.api.v1.Decision;
import org.teaseltrail.api.v1.Decisions;
import org.teaseltrail.api.v1.ListDecisionsRequest;
import org.teaseltrail.core.control.RecentDecision;

/** Converts recent scheduling decisions to protobuf messages of the operator API. */
final class DecisionConverter {

  private DecisionConverter() {}

  static Decisions toProto(Iterable<RecentDecision> decisions, ListDecisionsRequest wanted) {
    Decisions.Builder written = Decisions.newBuilder();
    for (RecentDecision recent : decisions) {
      Decision decision = convert(recent);
      boolean full = wanted.getLimit() > 0 && written.getDecisionsCount() >= wanted.getLimit();
      if (!full && matches(decision, wanted)) {
        written.addDecisions(decision);
      }
    }
    return written.build();
  }

  private static boolean matches(Decision decision, ListDecisionsRequest wanted) {
    boolean request =
        !wanted.hasRequestId() || wanted.getRequestId().equals(decision.getRequestId());
    boolean customer = !wanted.hasCustomer() || wanted.getCustomer().equals(decision.getCustomer());
    return request && customer;
  }

  private static Decision convert(RecentDecision recent) {
    var decision = recent.decision();
    Decision.Builder written =
        Decision.newBuilder()
            .setKind(Decision.Kind.valueOf(decision.kind().name()))
            .setAgeMs(recent.ageMs())
            .setReason(decision.reason());
    decision.request().ifPresent(request -> written.setRequestId(request.value()));
    decision.customer().ifPresent(customer -> written.setCustomer(customer.value()));
    decision.tier().ifPresent(tier -> written.setTier(tier.rank()));
    decision.upstream().ifPresent(upstream -> written.setUpstream(upstream.value()));
    return written.build();
  }
}
