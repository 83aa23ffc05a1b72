package org.teaseltrail.core.state;

import org.teaseltrail.core.id.ChangeId;

/**
 * Keeps what a change came to, for its resends.
 *
 * @param change the change id
 * @param contentDigest tells another content under the same id apart
 * @param result the first result
 * @param logTimeMs log time of the first result, in milliseconds
 */
public record ChangeRecord(
    ChangeId change, String contentDigest, ChangeResult result, long logTimeMs) {}
