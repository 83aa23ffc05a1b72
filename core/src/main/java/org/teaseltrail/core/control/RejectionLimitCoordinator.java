package org.teaseltrail.core.control;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Tracks, on the leader, the services whose upstreams tolerate few rejections, as any VM heard, and
 * tells all VMs. The leader grants each slot of such a service. A new leader learns the services
 * from the VMs' next reports; until then VMs keep to their own slots.
 */
final class RejectionLimitCoordinator {

  /**
   * Time after the newest report of a limit in which a report that it is lifted counts for nothing:
   * VMs hear different upstreams at different times.
   */
  private static final long HOLD_NS = 1_000_000_000L;

  /**
   * Time after which a VM is sent a list that names limits again: one that missed it knows of none,
   * and so reports nothing that would be answered.
   */
  private static final long REPEAT_NS = 1_000_000_000L;

  private static final Sent NOTHING = new Sent(Set.of(), 0);

  private record Sent(Set<ServiceId> services, long atNs) {

    /** Returns whether a VM may not know the present services. */
    private boolean isOutdated(Set<ServiceId> present, long nowNs) {
      boolean isRepeatDue = !present.isEmpty() && nowNs - atNs >= REPEAT_NS;
      return isRepeatDue || !services.equals(present);
    }
  }

  private final Leadership leadership;
  private final Map<ServiceId, Long> reportedNs = new HashMap<>();
  private final Map<VmId, Sent> sent = new HashMap<>();

  RejectionLimitCoordinator(Leadership leadership) {
    this.leadership = leadership;
  }

  /** Records what a VM heard, and answers it with the list, as an earlier one may be lost. */
  void message(ServingMessage.RejectionLimits message, Collection<VmId> vms) {
    long nowNs = leadership.nowNs();
    message.limited().forEach(service -> reportedNs.put(service, nowNs));
    for (ServiceId service : message.lifted()) {
      Long newestNs = reportedNs.get(service);
      if (newestNs != null && nowNs - newestNs >= HOLD_NS) {
        reportedNs.remove(service);
      }
    }
    vms.stream().filter(vm -> !vm.equals(message.vm())).forEach(this::sendIfDue);
    send(message.vm(), services());
  }

  /** Sends a VM the services, if it has not been sent them by this leader recently. */
  void sendIfDue(VmId vm) {
    Set<ServiceId> services = services();
    if (sent.getOrDefault(vm, NOTHING).isOutdated(services, leadership.nowNs())) {
      send(vm, services);
    }
  }

  /** Forgets what a VM was sent: it is gone, or has been started anew and knows nothing. */
  void forget(VmId vm) {
    sent.remove(vm);
  }

  /** Returns the services whose upstreams tolerate few rejections. */
  Set<ServiceId> services() {
    return new HashSet<>(reportedNs.keySet());
  }

  boolean isSensitive(ServiceId service) {
    return reportedNs.containsKey(service);
  }

  private void send(VmId vm, Set<ServiceId> services) {
    sent.put(vm, new Sent(services, leadership.nowNs()));
    List<ServiceId> sorted =
        services.stream().sorted(Comparator.comparing(ServiceId::value)).toList();
    leadership.sendServing(vm, new ServingReply.RejectionLimits(leadership.fencing(), sorted));
  }
}
