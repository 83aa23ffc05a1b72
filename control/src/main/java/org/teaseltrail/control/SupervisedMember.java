package org.teaseltrail.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.teaseltrail.core.control.OperatorRequest;
import org.teaseltrail.core.control.OperatorResult;
import org.teaseltrail.core.id.VmId;
import org.teaseltrail.core.registry.HeartbeatFailure;
import org.teaseltrail.runtime.process.ProgramException;
import org.teaseltrail.runtime.process.RunningProgram;

/** A running control member, as its supervisor uses it. */
interface SupervisedMember extends RunningProgram {

  /** Passes a request to the member; the result may stay incomplete while there is no quorum. */
  CompletableFuture<OperatorResult> call(OperatorRequest request);

  /** Returns the VM of the leader, which may be this one, if the member knows a leader. */
  Optional<VmId> leaderVm();

  /** Counts a rejected heartbeat. */
  void onHeartbeatRefused(HeartbeatFailure failure);

  /** Adds VMs to which the member sends its requests to join while it is not part of the group. */
  void seeds(List<VmId> seeds);

  /** Starts members. */
  @FunctionalInterface
  interface Starter {

    /**
     * Starts a member.
     *
     * @param knownDowntimeMs time for which no earlier instance of the member is known to have run
     * @throws ProgramException if the member can't start; with {@link
     *     org.teaseltrail.runtime.process.ExitCode#DATA} if its data folder can't be used
     */
    SupervisedMember start(long knownDowntimeMs) throws ProgramException;
  }
}
