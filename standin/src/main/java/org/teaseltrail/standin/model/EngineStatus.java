package org.teaseltrail.standin.model;

import java.util.List;
import org.teaseltrail.core.upstream.LoadReport;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.UpstreamPhase;
import org.teaseltrail.core.upstream.UpstreamRole;

/**
 * Snapshot of an engine's state.
 *
 * @param role its role
 * @param phase whether it serves requests or is leaving
 * @param models its loaded models
 * @param load its current load
 */
record EngineStatus(
    UpstreamRole role, UpstreamPhase phase, List<ServedModel> models, LoadReport load) {}
