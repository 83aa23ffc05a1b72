package org.teaseltrail.core.schedule;

import java.util.Set;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EntryMessage;

/** An event that a scheduler handles. */
public sealed interface SchedulerEvent {

  /**
   * A configuration has been applied.
   *
   * @param configuration the whole configuration
   */
  record ConfigurationChanged(Configuration configuration) implements SchedulerEvent {}

  /**
   * An entry VM has sent a message. Hello messages are not forwarded to the scheduler.
   *
   * @param vm the entry VM
   * @param message the message
   */
  record FromEntry(VmId vm, EntryMessage message) implements SchedulerEvent {}

  /**
   * A requested claim is committed; the grant may be sent.
   *
   * @param request the request
   */
  record ClaimGranted(RequestId request) implements SchedulerEvent {}

  /**
   * A requested claim is held by another request. The caller has already received its answer.
   *
   * @param request the request
   */
  record ClaimDenied(RequestId request) implements SchedulerEvent {}

  /**
   * The scheduler is new: it must not shed until each of these VMs has reported or its session has
   * expired.
   *
   * @param vms the entry VMs with a session
   */
  record ReportsAwaited(Set<VmId> vms) implements SchedulerEvent {}

  /**
   * An entry VM's session has expired. Its waiting tickets are void; requests that it has
   * dispatched may still run.
   *
   * @param vm the entry VM
   */
  record VmSessionExpired(VmId vm) implements SchedulerEvent {}

  /** Time has passed. */
  record Tick() implements SchedulerEvent {}
}
