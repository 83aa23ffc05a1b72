package org.teaseltrail.standin.model;

/**
 * Work of one step for one sequence.
 *
 * @param sequence the sequence
 * @param prefillTokens prompt tokens to process; zero if the sequence decodes
 */
record StepPart(Sequence sequence, int prefillTokens) {}
