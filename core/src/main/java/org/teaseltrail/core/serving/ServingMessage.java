package org.teaseltrail.core.serving;

import java.util.Map;
import org.teaseltrail.core.id.CustomerId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.VmId;

/** Is a message from an entry VM that places requests itself to a control member. */
public sealed interface ServingMessage {

  /**
   * Renews the VM's session and tells what goes on there.
   *
   * @param vm the VM
   * @param incarnation which life of its process
   * @param sequence grows with each; the answer carries it back
   * @param planVersion version of the plan in force there
   * @param registryRevision revision of the registrations in force there
   * @param inFlight requests that it has at each upstream, those without any left out
   * @param quotaUsed what each customer with a quota has used there within the quota's window
   * @param demandPerSecond what each customer with a quota asks for there, in the quota's unit
   */
  record Sync(
      VmId vm,
      Incarnation incarnation,
      long sequence,
      long planVersion,
      long registryRevision,
      Map<UpstreamId, Integer> inFlight,
      Map<CustomerId, Double> quotaUsed,
      Map<CustomerId, Double> demandPerSecond)
      implements ServingMessage {
    /** Copies the maps. */
    public Sync {
      inFlight = Map.copyOf(inFlight);
      quotaUsed = Map.copyOf(quotaUsed);
      demandPerSecond = Map.copyOf(demandPerSecond);
    }
  }
}
