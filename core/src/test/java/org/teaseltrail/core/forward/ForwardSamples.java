package org.teaseltrail.core.forward;

import java.util.List;
import java.util.Optional;
import org.teaseltrail.core.contention.ContentionSettings;
import org.teaseltrail.core.id.DataCenterId;
import org.teaseltrail.core.id.Incarnation;
import org.teaseltrail.core.id.ServiceId;
import org.teaseltrail.core.id.UpstreamId;
import org.teaseltrail.core.id.UpstreamVersion;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.quota.QuotaPolicy;
import org.teaseltrail.core.registry.Registration;
import org.teaseltrail.core.registry.RegistrationPhase;
import org.teaseltrail.core.relay.RelaySettings;
import org.teaseltrail.core.upstream.SocketAddress;

/** Creates settings of entry VMs and registrations of upstreams for tests. */
public final class ForwardSamples {

  /** The control member that the VMs contact first. */
  public static final VmId MEMBER = new VmId("10.0.0.9:7600");

  private ForwardSamples() {}

  /** Creates settings with typical times; the seed is derived from the VM's name. */
  public static ForwardSettings settings(VmId vm, long incarnation) {
    return settings(vm, incarnation, List.of(MEMBER), vm.value().hashCode());
  }

  /** Creates settings with typical times for the given control members. */
  public static ForwardSettings settings(VmId vm, long incarnation, List<VmId> members, long seed) {
    return settings(vm, incarnation, members, seed, ContentionSettings.OFF);
  }

  /** Creates settings with typical times for the given control members and features. */
  public static ForwardSettings settings(
      VmId vm, long incarnation, List<VmId> members, long seed, ContentionSettings contention) {
    return settings(vm, incarnation, members, seed, contention, RelaySettings.OFF);
  }

  /** Creates settings with typical times for the given control members, features and relay. */
  public static ForwardSettings settings(
      VmId vm,
      long incarnation,
      List<VmId> members,
      long seed,
      ContentionSettings contention,
      RelaySettings relay) {
    return new ForwardSettings(
        vm,
        new Incarnation(incarnation),
        members,
        3_000,
        250,
        0.2,
        10_000,
        50,
        QuotaPolicy.DEFAULT,
        contention,
        relay,
        seed);
  }

  /** Creates the registration that the first heartbeat of a ready upstream yields. */
  public static Registration upstream(String id, ServiceId service, int places) {
    return upstream(id, service, places, Optional.empty());
  }

  /** Creates the registration of a ready upstream that reports its version. */
  public static Registration upstream(String id, ServiceId service, int places, String version) {
    return upstream(id, service, places, Optional.of(new UpstreamVersion(version)));
  }

  private static Registration upstream(
      String id, ServiceId service, int places, Optional<UpstreamVersion> version) {
    return new Registration(
        new UpstreamId(id),
        0,
        service,
        new SocketAddress("10.0.0.1", 80),
        new DataCenterId("a"),
        places,
        RegistrationPhase.READY,
        1,
        version,
        0);
  }
}
