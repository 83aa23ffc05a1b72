package org.teaseltrail.core.control;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.serving.PeerVm;
import org.teaseltrail.core.serving.ServingMessage;
import org.teaseltrail.core.serving.ServingReply;

/**
 * Tells, on the leader, each entry VM the peers to which it may relay requests. A new leader starts
 * with none and learns them from the VMs' next announcements; until then VMs keep the peers that
 * they know.
 */
final class PeerCoordinator {

  /** Minimum time between two updates of all VMs, as many VMs may start at once. */
  private static final long UPDATE_INTERVAL_NS = 100_000_000L;

  private final Leadership leadership;
  private final Map<VmId, ServingMessage.Paths> announced =
      new TreeMap<>(Comparator.comparing(VmId::value));
  private final Map<VmId, List<PeerVm>> sent = new HashMap<>();
  private boolean isUpdateDue;
  private long nextUpdateNs;

  PeerCoordinator(Leadership leadership) {
    this.leadership = leadership;
  }

  /** Records a VM's announcement and answers it. */
  void message(ServingMessage.Paths message) {
    ServingMessage.Paths before = announced.put(message.vm(), message);
    isUpdateDue |= before == null || differs(before, message);
    send(message.vm(), PeerSelector.select(message, announced.values()));
  }

  private static boolean differs(ServingMessage.Paths before, ServingMessage.Paths after) {
    return !before.relayAddress().equals(after.relayAddress())
        || !before.dataCenter().equals(after.dataCenter())
        || !before.lost().equals(after.lost());
  }

  /** Removes a VM whose syncs have timed out. */
  void removeVm(VmId vm) {
    isUpdateDue |= announced.remove(vm) != null;
    sent.remove(vm);
  }

  /** Sends the VMs their peers, as far as they have changed. */
  void tick() {
    if (!isUpdateDue || leadership.nowNs() < nextUpdateNs) {
      return;
    }
    isUpdateDue = false;
    nextUpdateNs = leadership.nowNs() + UPDATE_INTERVAL_NS;
    for (ServingMessage.Paths vm : announced.values()) {
      List<PeerVm> peers = PeerSelector.select(vm, announced.values());
      if (!peers.equals(sent.get(vm.vm()))) {
        send(vm.vm(), peers);
      }
    }
  }

  OptionalLong nextWakeupNs() {
    return isUpdateDue ? OptionalLong.of(nextUpdateNs) : OptionalLong.empty();
  }

  private void send(VmId vm, List<PeerVm> peers) {
    sent.put(vm, peers);
    leadership.sendServing(
        vm, new ServingReply.Peers(leadership.fencing(), announced.get(vm).sequence(), peers));
  }
}
