package org.teaseltrail.core.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.serving.PeerVm;

/**
 * The peers to which this VM may relay requests, as the leader told them last, and the choice among
 * them. The list outlives the leader, so that requests are relayed while there is none.
 */
public final class PeerDirectory {

  private final Optional<DataCenterId> ownDataCenter;
  private final RandomGenerator random;
  private final Map<VmId, PeerState> states = new LinkedHashMap<>();
  private List<VmId> listed = List.of();

  /**
   * Creates an empty directory.
   *
   * @param ownDataCenter this VM's data centre, if it is known
   * @param random source of the choice among equal peers
   */
  public PeerDirectory(Optional<DataCenterId> ownDataCenter, RandomGenerator random) {
    this.ownDataCenter = ownDataCenter;
    this.random = random;
  }

  /**
   * Replaces the peers. Relays to peers that are no longer listed go on.
   *
   * @param peers the peers
   */
  public void update(List<PeerVm> peers) {
    listed = peers.stream().map(PeerVm::vm).toList();
    for (PeerVm peer : peers) {
      states.computeIfAbsent(peer.vm(), vm -> new PeerState(peer)).update(peer);
    }
    states
        .entrySet()
        .removeIf(entry -> !listed.contains(entry.getKey()) && entry.getValue().outstanding() == 0);
  }

  /**
   * Selects the peer with the fewest requests of this VM; among equal ones it prefers this VM's
   * data centre.
   *
   * @param service the service of the request to relay
   * @param tried peers that must not be selected
   * @param nowNs current time, in nanoseconds
   * @return the peer, empty if none can take the request
   */
  public Optional<PeerVm> select(ServiceId service, Set<VmId> tried, long nowNs) {
    List<PeerState> usable = new ArrayList<>();
    for (VmId vm : listed) {
      PeerState state = states.get(vm);
      if (!tried.contains(vm) && state.isUsable(service, nowNs)) {
        usable.add(state);
      }
    }
    Comparator<PeerState> order =
        Comparator.comparingInt(PeerState::outstanding).thenComparing(this::isRemote);
    Optional<PeerState> best = usable.stream().min(order);
    List<PeerState> equal =
        usable.stream().filter(state -> order.compare(state, best.get()) == 0).toList();
    return equal.isEmpty()
        ? Optional.empty()
        : Optional.of(equal.get(random.nextInt(equal.size())).peer());
  }

  private boolean isRemote(PeerState state) {
    return !state.peer().dataCenter().equals(ownDataCenter);
  }

  /**
   * Records that a request is relayed to a peer.
   *
   * @param vm the peer
   */
  public void recordStart(VmId vm) {
    states.get(vm).recordStart();
  }

  /**
   * Records the end of a relay.
   *
   * @param vm the peer
   * @param service the request's service
   * @param outcome how it ended
   * @param nowNs current time, in nanoseconds
   */
  public void recordEnd(VmId vm, ServiceId service, RelayOutcome outcome, long nowNs) {
    states.get(vm).recordEnd(service, outcome, nowNs);
  }

  /**
   * Records that a relay was cancelled.
   *
   * @param vm the peer
   */
  public void recordCancelled(VmId vm) {
    states.get(vm).recordCancelled();
  }
}
