package org.teaseltrail.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.upstream.SocketAddress;

/** Resolves a VM to the address at which its control member accepts connections. */
@FunctionalInterface
interface VmAddressResolver {

  Optional<SocketAddress> resolve(VmId vm);

  /** Resolves the VMs that are listed in the settings. */
  static VmAddressResolver ofPeers(List<PeerAddress> peers) {
    Map<VmId, SocketAddress> addresses =
        peers.stream().collect(Collectors.toMap(PeerAddress::vm, PeerAddress::address));
    return vm -> Optional.ofNullable(addresses.get(vm));
  }

  /**
   * Parses the address from the VM's name, {@code ip:port}. In a group that bootstraps itself, the
   * settings do not list all VMs in advance. A name that is no address, which another VM may have
   * told, has none.
   */
  static VmAddressResolver fromVmName() {
    return vm -> SocketAddress.parseServer(vm.value());
  }
}
