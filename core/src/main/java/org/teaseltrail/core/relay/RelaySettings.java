package org.teaseltrail.core.relay;

import java.util.Optional;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * Settings of the relay of requests between entry VMs.
 *
 * @param address where this VM accepts relayed requests; empty if it neither takes nor relays any
 * @param dataCenter this VM's data centre, if it is known
 */
public record RelaySettings(Optional<SocketAddress> address, Optional<DataCenterId> dataCenter) {

  /** This VM takes part in no relay. */
  public static final RelaySettings OFF = new RelaySettings(Optional.empty(), Optional.empty());
}
