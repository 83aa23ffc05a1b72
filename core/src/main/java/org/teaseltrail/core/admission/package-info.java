/**
 * Decides on an entry VM, by the leader's forecasts of the waits for slots, which requests are
 * queued and when the callers of the others may come back.
 */
package org.teaseltrail.core.admission;
