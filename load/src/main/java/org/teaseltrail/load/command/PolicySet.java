package org.teaseltrail.load.command;

import java.util.List;
import org.teaseltrail.load.policy.Policy;

/** Names the policies to compare. */
enum PolicySet {
  /** The pool scheduler alone. */
  SCHEDULER {
    @Override
    List<Policy> policies() {
      return List.of(Policy.scheduler());
    }
  },
  /** The pool scheduler and each baseline. */
  BASELINES {
    @Override
    List<Policy> policies() {
      return Policy.withBaselines();
    }
  },
  /** The pool scheduler whole and with each part of its policy off. */
  PARTS {
    @Override
    List<Policy> policies() {
      return Policy.withPartsOff();
    }
  };

  abstract List<Policy> policies();
}
