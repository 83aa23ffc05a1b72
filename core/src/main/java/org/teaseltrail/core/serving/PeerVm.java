package org.teaseltrail.core.serving;

import java.util.Optional;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.upstream.SocketAddress;

/**
 * An entry VM to which another one may relay requests.
 *
 * @param vm the VM
 * @param address where it accepts relayed requests
 * @param dataCenter its data centre, if it told one
 */
public record PeerVm(VmId vm, SocketAddress address, Optional<DataCenterId> dataCenter) {}
