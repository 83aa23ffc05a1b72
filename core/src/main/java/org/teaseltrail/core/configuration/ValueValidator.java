package org.teaseltrail.core.configuration;

import java.util.Optional;
import java.util.regex.Pattern;

/** Checks the values of one part of the configuration, whatever the other parts hold. */
final class ValueValidator {

  private static final int MAX_NAME_LENGTH = 200;
  private static final int MAX_WEIGHT = 1_000;
  private static final int MAX_KEYS = 16;
  private static final int MAX_COPIES = 10_000;
  private static final long MAX_WAITING_MS = 24L * 60 * 60 * 1_000;
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");

  private ValueValidator() {}

  /** Returns the rule that a tier breaks, if any. */
  static Optional<ValueRule> validate(TierDefinition tier) {
    boolean named = !tier.name().isBlank() && tier.name().length() <= MAX_NAME_LENGTH;
    return broken(named, ValueRule.TIER_NAME);
  }

  /** Returns the rule that a customer breaks, if any. */
  static Optional<ValueRule> validate(Customer customer) {
    double rate = customer.rateRequestsPerSecond();
    double burst = customer.burstRequests();
    boolean burstFits = Double.isFinite(burst) && burst >= (rate > 0 ? 1 : 0);
    return broken(customer.keyHashes().size() <= MAX_KEYS, ValueRule.KEY_COUNT)
        .or(
            () ->
                broken(customer.keyHashes().stream().allMatch(ValueValidator::isHash), hashRule()))
        .or(() -> broken(Double.isFinite(rate) && rate >= 0, ValueRule.RATE))
        .or(() -> broken(burstFits, ValueRule.BURST))
        .or(() -> broken(isBetween(customer.weight(), 1, MAX_WEIGHT), ValueRule.WEIGHT));
  }

  /** Returns the rule that a pool breaks, if any. */
  static Optional<ValueRule> validate(Pool pool) {
    return broken(isBetween(pool.maxWaitingMs(), 1, MAX_WAITING_MS), ValueRule.MAX_WAITING)
        .or(() -> broken(isBetween(pool.targetCopies(), 0, MAX_COPIES), ValueRule.TARGET_COPIES));
  }

  /** Returns the rule that a route breaks, if any. */
  static Optional<ValueRule> validate(Route route) {
    if (route.target() instanceof RouteTarget.ServiceTarget service) {
      boolean methods =
          service.nonIdempotentMethods().stream().allMatch(m -> METHOD.matcher(m).matches());
      return broken(methods, ValueRule.HTTP_METHOD);
    }
    return Optional.empty();
  }

  /** Returns the rule that an allowed upstream breaks, if any. */
  static Optional<ValueRule> validate(AllowedUpstream upstream) {
    return broken(isHash(upstream.secretHash()), hashRule());
  }

  private static ValueRule hashRule() {
    return ValueRule.SHA256_HASH;
  }

  private static boolean isHash(String text) {
    return SHA256.matcher(text).matches();
  }

  private static boolean isBetween(long value, long least, long most) {
    return value >= least && value <= most;
  }

  private static Optional<ValueRule> broken(boolean holds, ValueRule rule) {
    return holds ? Optional.empty() : Optional.of(rule);
  }
}
