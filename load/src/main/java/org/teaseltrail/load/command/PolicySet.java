package org.teaseltrail.load.command;

import java.util.List;
import org.teaseltrail.load.policy.Policy;

/** Set of policies to compare. */
enum PolicySet {
  /** The pool scheduler alone. */
  SCHEDULER {
    @Override
    List<Policy> policies() {
      return List.of(Policy.scheduler());
    }
  },
  /** The pool scheduler and all baselines. */
  BASELINES {
    @Override
    List<Policy> policies() {
      return Policy.withBaselines();
    }
  },
  /**
   * The complete pool scheduler and, for each part of its policy, a variant with that part
   * disabled.
   */
  PARTS {
    @Override
    List<Policy> policies() {
      return Policy.withPartsDisabled();
    }
  };

  abstract List<Policy> policies();
}
