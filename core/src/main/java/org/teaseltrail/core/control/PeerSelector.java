package org.teaseltrail.core.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.teaseltrail.core.serving.PeerVm;
import org.teaseltrail.core.serving.ServingMessage;

/**
 * Selects the peers of an entry VM among those that have lost no paths, if there are any: some of
 * its own data centre, which cost no traffic between data centres, and some of others, since most
 * VMs of a data centre may lose their paths together.
 *
 * <p>Rendezvous hashing (Thaler and Ravishankar, 1998) spreads the VMs evenly over the lists, and
 * changes few lists when a VM joins, leaves or loses its paths.
 */
final class PeerSelector {

  /** Number of peers that a VM is told, whatever the number of VMs. */
  private static final int MAX_PEERS = 8;

  /** Number of them that are of its own data centre, if there are enough others elsewhere. */
  private static final int MAX_NEAR_PEERS = 4;

  private PeerSelector() {}

  /** Returns the peers of a VM among all VMs that accept relayed requests. */
  static List<PeerVm> select(ServingMessage.Paths self, Collection<ServingMessage.Paths> all) {
    List<ServingMessage.Paths> others =
        all.stream().filter(other -> !other.vm().equals(self.vm())).toList();
    List<ServingMessage.Paths> intact =
        others.stream().filter(other -> other.lost().isEmpty()).toList();
    List<ServingMessage.Paths> ranked =
        (intact.isEmpty() ? others : intact)
            .stream().sorted(Comparator.comparingLong(other -> weight(self, other))).toList();
    List<ServingMessage.Paths> near = ranked.stream().filter(vm -> isNear(self, vm)).toList();
    List<ServingMessage.Paths> far = ranked.stream().filter(vm -> !isNear(self, vm)).toList();
    int nearCount = Math.min(near.size(), Math.max(MAX_NEAR_PEERS, MAX_PEERS - far.size()));
    List<ServingMessage.Paths> selected = new ArrayList<>(near.subList(0, nearCount));
    selected.addAll(far.subList(0, Math.min(far.size(), MAX_PEERS - nearCount)));
    return selected.stream()
        .map(vm -> new PeerVm(vm.vm(), vm.relayAddress(), vm.dataCenter()))
        .toList();
  }

  private static boolean isNear(ServingMessage.Paths self, ServingMessage.Paths other) {
    return other.dataCenter().equals(self.dataCenter());
  }

  private static long weight(ServingMessage.Paths self, ServingMessage.Paths other) {
    long pair = self.vm().value().hashCode() * 31L + other.vm().value().hashCode();
    long mixed = (pair ^ (pair >>> 30)) * 0xbf58476d1ce4e5b9L;
    return mixed ^ (mixed >>> 27);
  }
}
