package org.teaseltrail.control;

import java.util.List;
import org.teaseltrail.core.id.MemberId;
import org.teaseltrail.core.replication.Member;
import org.teaseltrail.core.replication.RecoveredState;
import org.teaseltrail.core.replication.ReplicaAction;

/**
 * Is a member with its data folder.
 *
 * @param member the member
 * @param recovered what the folder held
 * @param sink where its writes go
 */
record MemberState(Member member, RecoveredState recovered, WriteSink sink) {

  static MemberState open(ControlOptions options, StartMode mode) {
    Member member = new Member(new MemberId(options.vm().value() + "-0"), options.vm());
    RecoveredState recovered =
        mode == StartMode.JOIN ? RecoveredState.empty() : RecoveredState.newGroup(member);
    return new MemberState(member, recovered, new MemorySink());
  }

  private static final class MemorySink implements WriteSink {
    @Override
    public void write(List<ReplicaAction.Write> writes) {}

    @Override
    public void close() {}
  }
}
