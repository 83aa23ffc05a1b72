package org.teaseltrail.control;

import java.util.List;
import org.teaseltrail.core.replication.ReplicaAction;

/** Keeps a member's writes for good. */
interface WriteSink extends AutoCloseable {

  /**
   * Carries writes out in their order and syncs them.
   *
   * @param writes the writes
   * @throws RuntimeException if one of them may not be on disk; nothing after that may be
   *     acknowledged
   */
  void write(List<ReplicaAction.Write> writes);

  @Override
  void close();
}
