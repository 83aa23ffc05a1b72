package org.teaseltrail.control;

import org.teaseltrail.api.v1.Decision;
import org.teaseltrail.api.v1.Decisions;
import org.teaseltrail.api.v1.ListDecisionsRequest;
import org.teaseltrail.core.control.RecentDecision;

/** Writes decisions in the operators' schema. */
final class DecisionWriter {

  private DecisionWriter() {}

  static Decisions write(Iterable<RecentDecision> decisions, ListDecisionsRequest wanted) {
    Decisions.Builder written = Decisions.newBuilder();
    for (RecentDecision logged : decisions) {
      Decision decision = one(logged);
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

  private static Decision one(RecentDecision logged) {
    var decision = logged.decision();
    Decision.Builder written =
        Decision.newBuilder()
            .setKind(Decision.Kind.valueOf(decision.kind().name()))
            .setAgeMs(logged.ageMs())
            .setReason(decision.reason());
    decision.request().ifPresent(request -> written.setRequestId(request.value()));
    decision.customer().ifPresent(customer -> written.setCustomer(customer.value()));
    decision.tier().ifPresent(tier -> written.setTier(tier.rank()));
    decision.upstream().ifPresent(upstream -> written.setUpstream(upstream.value()));
    return written.build();
  }
}
