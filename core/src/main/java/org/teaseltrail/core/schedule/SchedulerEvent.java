package org.teaseltrail.core.schedule;

import java.util.Set;
import org.teaseltrail.core.configuration.Configuration;
import org.teaseltrail.core.id.RequestId;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EntryMessage;

/** Is something that has happened and that a scheduler must know. */
public sealed interface SchedulerEvent {

  /**
   * A configuration is in force.
   *
   * @param configuration the whole configuration
   */
  record ConfigurationChanged(Configuration configuration) implements SchedulerEvent {}

  /**
   * An entry VM has sent a message; hellos aren't passed on.
   *
   * @param vm the entry VM
   * @param message the message
   */
  record FromEntry(VmId vm, EntryMessage message) implements SchedulerEvent {}

  /**
   * A claim asked for is committed; the grant may go out.
   *
   * @param request the request
   */
  record ClaimGranted(RequestId request) implements SchedulerEvent {}

  /**
   * A claim asked for is held by another request; the caller has been told.
   *
   * @param request the request
   */
  record ClaimDenied(RequestId request) implements SchedulerEvent {}

  /**
   * The scheduler is new: it may not shed until each of these VMs has reported or lapsed.
   *
   * @param vms the VMs with a session
   */
  record ReportsAwaited(Set<VmId> vms) implements SchedulerEvent {}

  /**
   * A VM's session has ended. Its waiting tickets are gone; what it dispatched may still run.
   *
   * @param vm the entry VM
   */
  record VmSessionExpired(VmId vm) implements SchedulerEvent {}

  /** Time has passed. */
  record Tick() implements SchedulerEvent {}
}
