package org.teaseltrail.standin.model;

import java.util.List;
import org.teaseltrail.core.upstream.LoadReport;
import org.teaseltrail.core.upstream.ServedModel;
import org.teaseltrail.core.upstream.UpstreamPhase;
import org.teaseltrail.core.upstream.UpstreamRole;

/**
 * Is what an engine could say of itself at one moment.
 *
 * @param role what it does
 * @param phase whether it wants work
 * @param models what it has loaded
 * @param load its load at this moment
 */
record EngineStatus(
    UpstreamRole role, UpstreamPhase phase, List<ServedModel> models, LoadReport load) {}
