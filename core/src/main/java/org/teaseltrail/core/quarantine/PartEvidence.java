package org.teaseltrail.core.quarantine;

import java.util.OptionalLong;

/**
 * What an entry VM knows in favour of a prompt's part under which an upstream was lost.
 *
 * @param servedAgoMs time since a request with the part was answered completely, in milliseconds;
 *     empty if none was lately
 */
public record PartEvidence(OptionalLong servedAgoMs) {}
