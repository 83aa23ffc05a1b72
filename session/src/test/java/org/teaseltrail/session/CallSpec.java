package org.teaseltrail.session;

import java.util.Optional;

/**
 * Parameters of a call.
 *
 * @param name the call's name in the script
 * @param tier rank of the customer's tier
 * @param promptTokens length of the prompt
 * @param maxTokens length of the answer
 * @param key the idempotency key, if any
 * @param atMostOnce whether it must run at most once
 * @param deadlineMs time until the deadline; zero for none
 */
record CallSpec(
    String name,
    int tier,
    int promptTokens,
    int maxTokens,
    Optional<String> key,
    boolean atMostOnce,
    long deadlineMs) {}
