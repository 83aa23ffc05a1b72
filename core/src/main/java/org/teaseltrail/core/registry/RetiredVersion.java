package org.teaseltrail.core.registry;

import java.util.Optional;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamVersion;

/**
 * Version of which an upstream has left its service.
 *
 * @param service the service
 * @param version the version, empty if the upstream reported none
 * @param logTimeMs log time at which the last such upstream left, in milliseconds
 */
public record RetiredVersion(
    ServiceId service, Optional<UpstreamVersion> version, long logTimeMs) {}
