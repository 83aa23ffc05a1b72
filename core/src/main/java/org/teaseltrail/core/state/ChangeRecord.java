package org.teaseltrail.core.state;

import org.teaseltrail.core.id.ChangeId;

/**
 * Stored result of a change, returned to retries.
 *
 * @param change the change id
 * @param contentDigest digest that detects different content under the same change id
 * @param result the first result
 * @param logTimeMs log time of the first result, in milliseconds
 */
public record ChangeRecord(
    ChangeId change, String contentDigest, ChangeResult result, long logTimeMs) {}
