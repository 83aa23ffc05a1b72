package org.teaseltrail.core.upstream;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;

/**
 * Announcement that an upstream sends about itself about once a second. An upstream whose last
 * announcement has expired is treated as leaving.
 *
 * @param upstream the upstream
 * @param incarnation its incarnation
 * @param sequence increases with each announcement of one incarnation
 * @param address the address at which it accepts requests
 * @param dataCenter its data centre
 * @param role its role
 * @param phase whether it accepts new requests
 * @param models the models it has loaded
 * @param service the plain service that it provides, if any
 * @param maxBatch maximum number of requests that it runs concurrently
 * @param cacheTokens capacity of its prefix cache, in tokens
 * @param load its load
 * @param lifetimeMs time until the announcement expires, in milliseconds
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
