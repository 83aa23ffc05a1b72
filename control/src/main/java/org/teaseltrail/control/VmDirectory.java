package org.teaseltrail.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.upstream.SocketAddress;

/** Finds the address at which a VM's control member takes frames. */
@FunctionalInterface
interface VmDirectory {

  Optional<SocketAddress> find(VmId vm);

  /** Finds the VMs that the settings list. */
  static VmDirectory listed(List<PeerAddress> peers) {
    Map<VmId, SocketAddress> addresses =
        peers.stream().collect(Collectors.toMap(PeerAddress::vm, PeerAddress::address));
    return vm -> Optional.ofNullable(addresses.get(vm));
  }

  /**
   * Reads a VM's address from its name, {@code ip:port}. In a group that forms itself nobody lists
   * the VMs beforehand.
   */
  static VmDirectory byName() {
    return vm -> {
      boolean named = vm.value().lastIndexOf(':') > 0;
      return named ? Optional.of(SocketAddress.parse(vm.value())) : Optional.empty();
    };
  }
}
