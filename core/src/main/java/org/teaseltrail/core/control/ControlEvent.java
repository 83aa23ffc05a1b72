package org.teaseltrail.core.control;

import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.message.EntryMessage;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.PeerEnvelope;
import org.teaseltrail.core.serving.ServingMessage;

/** Is something that has happened and that a control member must know. */
public sealed interface ControlEvent {

  /**
   * An entry VM has sent a message.
   *
   * @param vm the VM, as the first hello of its connection named it
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
   * A process runs a member that wants to belong to the group.
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
   * Writes are synced.
   *
   * @param writeNumber number of the newest synced write
   */
  record Persisted(long writeNumber) implements ControlEvent {}

  /**
   * A snapshot was encoded.
   *
   * @param index index of the last entry applied to it
   * @param state the encoded state; must not be changed afterwards
   */
  record SnapshotEncoded(long index, byte[] state) implements ControlEvent {}

  /**
   * An operator asks for something.
   *
   * @param callId the call, given back in the reply
   * @param request what is asked for
   */
  record OperatorCall(long callId, OperatorRequest request) implements ControlEvent {}

  /**
   * An engine has answered an order, or the order failed.
   *
   * @param order the order
   * @param outcome what came of it
   */
  record OrderAnswered(EngineOrder order, OrderOutcome outcome) implements ControlEvent {}

  /** The process is to stop: leadership goes to another member first. */
  record HandOver() implements ControlEvent {}

  /** Time has passed. */
  record Tick() implements ControlEvent {}
}
