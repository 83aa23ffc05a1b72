package org.teaseltrail.core.serving;

/**
 * A booked return of a caller. Example: key 0x5f1c, in 1,850 ms.
 *
 * @param key recognizes the caller
 * @param inMs time from now until the return, in milliseconds
 */
public record BookedReturn(ReturnKey key, long inMs) {}
