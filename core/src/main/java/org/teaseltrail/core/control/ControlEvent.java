package org.teaseltrail.core.control;

import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.PeerEnvelope;
import org.teaseltrail.core.serving.ServingMessage;

/** An event that a control member handles. */
public sealed interface ControlEvent {

  /**
   * An entry VM has sent a message.
   *
   * @param vm the VM, as named in the first hello of its connection
   * @param message the message
   */
  record FromEntry(VmId vm, EntryMessage message) implements ControlEvent {}

  /**
   * An entry VM that places requests itself has sent a message.
   *
   * @param message the message
   */
  record FromServingVm(ServingMessage message) implements ControlEvent {}

  /**
   * An entry VM that places requests itself has a new connection; what was sent to it on the one
   * before may be lost.
   *
   * @param vm the VM
   */
  record ServingVmConnected(VmId vm) implements ControlEvent {}

  /**
   * A process runs a member that asks to join the group.
   *
   * @param member the member
   */
  record MemberJoins(Member member) implements ControlEvent {}

  /**
   * Another member has sent a message.
   *
   * @param envelope the message
   */
  record FromPeer(PeerEnvelope envelope) implements ControlEvent {}

  /**
   * Writes have been synced to disk.
   *
   * @param writeNumber number of the newest synced write
   */
  record Persisted(long writeNumber) implements ControlEvent {}

  /**
   * A snapshot has been encoded.
   *
   * @param index index of the last entry that the snapshot includes
   * @param state the encoded state; must not be changed afterwards
   */
  record SnapshotEncoded(long index, byte[] state) implements ControlEvent {}

  /**
   * An operator has sent a request.
   *
   * @param callId the call, returned with the reply
   * @param request the request
   */
  record OperatorCall(long callId, OperatorRequest request) implements ControlEvent {}

  /**
   * An engine has answered an order, or the order has failed.
   *
   * @param order the order
   * @param outcome the outcome
   */
  record OrderAnswered(EngineOrder order, OrderOutcome outcome) implements ControlEvent {}

  /** The process is about to stop; leadership is transferred to another member first. */
  record HandOver() implements ControlEvent {}

  /** Time has passed; the member runs the work that is due. */
  record Tick() implements ControlEvent {}
}
