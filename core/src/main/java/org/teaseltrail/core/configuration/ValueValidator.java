package org.teaseltrail.core.configuration;

import java.util.Optional;
import java.util.regex.Pattern;

/** Validates the values of a single entity, independently of other entities. */
final class ValueValidator {

  private static final int MAX_NAME_LENGTH = 200;
  private static final int MAX_WEIGHT = 1_000;
  private static final int MAX_KEYS = 16;
  private static final int MAX_COPIES = 10_000;
  private static final long MAX_WAITING_MS = 24L * 60 * 60 * 1_000;
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");

  private ValueValidator() {}

  /** Returns the rule that a tier violates, if any. */
  static Optional<ValueRule> validate(TierDefinition tier) {
    boolean validName = !tier.name().isBlank() && tier.name().length() <= MAX_NAME_LENGTH;
    return violationUnless(validName, ValueRule.TIER_NAME);
  }

  /** Returns the rule that a customer violates, if any. */
  static Optional<ValueRule> validate(Customer customer) {
    double rate = customer.rateRequestsPerSecond();
    double burst = customer.burstRequests();
    boolean validBurst = Double.isFinite(burst) && burst >= (rate > 0 ? 1 : 0);
    return violationUnless(customer.keyHashes().size() <= MAX_KEYS, ValueRule.KEY_COUNT)
        .or(
            () ->
                violationUnless(
                    customer.keyHashes().stream().allMatch(ValueValidator::isHash), hashRule()))
        .or(() -> violationUnless(Double.isFinite(rate) && rate >= 0, ValueRule.RATE))
        .or(() -> violationUnless(validBurst, ValueRule.BURST))
        .or(() -> violationUnless(isBetween(customer.weight(), 1, MAX_WEIGHT), ValueRule.WEIGHT));
  }

  /** Returns the rule that a pool violates, if any. */
  static Optional<ValueRule> validate(Pool pool) {
    return violationUnless(isBetween(pool.maxWaitingMs(), 1, MAX_WAITING_MS), ValueRule.MAX_WAITING)
        .or(
            () ->
                violationUnless(
                    isBetween(pool.targetCopies(), 0, MAX_COPIES), ValueRule.TARGET_COPIES));
  }

  /** Returns the rule that a route violates, if any. */
  static Optional<ValueRule> validate(Route route) {
    if (route.target() instanceof RouteTarget.ServiceTarget service) {
      boolean validMethods =
          service.nonIdempotentMethods().stream().allMatch(m -> METHOD.matcher(m).matches());
      return violationUnless(validMethods, ValueRule.HTTP_METHOD);
    }
    return Optional.empty();
  }

  /** Returns the rule that an allowed upstream violates, if any. */
  static Optional<ValueRule> validate(AllowedUpstream upstream) {
    return violationUnless(isHash(upstream.secretHash()), hashRule());
  }

  private static ValueRule hashRule() {
    return ValueRule.SHA256_HASH;
  }

  private static boolean isHash(String text) {
    return SHA256.matcher(text).matches();
  }

  private static boolean isBetween(long value, long min, long max) {
    return value >= min && value <= max;
  }

  private static Optional<ValueRule> violationUnless(boolean valid, ValueRule rule) {
    return valid ? Optional.empty() : Optional.of(rule);
  }
}
