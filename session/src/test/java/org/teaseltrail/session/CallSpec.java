package org.teaseltrail.session;

import java.util.Optional;

/**
 * Says what a caller asks for.
 *
 * @param name the call's name in the script
 * @param tier rank of the customer's tier
 * @param promptTokens length of the prompt
 * @param maxTokens length of the answer
 * @param key the idempotency key, if it carries one
 * @param once whether it must not run twice
 * @param deadlineMs time until its deadline; zero if it has none
 */
record CallSpec(
    String name,
    int tier,
    int promptTokens,
    int maxTokens,
    Optional<String> key,
    boolean once,
    long deadlineMs) {}
