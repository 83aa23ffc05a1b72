package org.teaseltrail.core.upstream;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Is what an upstream says of itself, again every second or so; its silence past the lifetime
 * counts as leaving.
 *
 * @param upstream who it is
 * @param incarnation which of its lives
 * @param sequence grows with each announcement of one life
 * @param address where it takes requests
 * @param dataCenter where it stands
 * @param role what it does
 * @param phase whether it wants work
 * @param models what it has loaded
 * @param service the plain service it answers for
 * @param maxBatch requests it runs at once
 * @param cacheTokens tokens its prefix cache holds
 * @param load its load
 * @param lifetimeMs how long the announcement is good for
 */
public record Announcement(
    UpstreamId upstream,
    Incarnation incarnation,
    long sequence,
    SocketAddress address,
    DataCenterId dataCenter,
    UpstreamRole role,
    UpstreamPhase phase,
    List<ServedModel> models,
    Optional<ServiceId> service,
    int maxBatch,
    long cacheTokens,
    LoadReport load,
    long lifetimeMs) {}
