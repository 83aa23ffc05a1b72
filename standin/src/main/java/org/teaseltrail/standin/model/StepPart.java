package org.teaseltrail.standin.model;

/**
 * Is what one step does for one sequence.
 *
 * @param sequence the sequence
 * @param prefillTokens prompt tokens to process; zero if it decodes
 */
record StepPart(Sequence sequence, int prefillTokens) {}
