package org.teaseltrail.entry;

import org.teaseltrail.core.configuration.RouteTarget;
import org.teaseltrail.core.configuration.RouteTarget.ModelTarget;
import org.teaseltrail.core.id.RequestId;

/** An exchange whose upstream is an engine. */
abstract class GenerationExchange implements CallerExchange {

  private final RequestId request;
  private final GenerateRequest body;

  GenerationExchange(RequestId request, GenerateRequest body) {
    this.request = request;
    this.body = body;
  }

  @Override
  public final RequestId request() {
    return request;
  }

  @Override
  public final DispatchCall createCall(UpstreamCallFactory calls, int attempt, RouteTarget asked) {
    return calls.engine(this, attempt, body.toEngineBody(request, (ModelTarget) asked));
  }
}
