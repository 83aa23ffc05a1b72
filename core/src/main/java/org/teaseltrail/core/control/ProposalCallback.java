package org.teaseltrail.core.control;

import org.teaseltrail.core.replication.ProposalRejection;
import org.teaseltrail.core.state.CommandResult;

/** Receives the outcome of a proposal. Exactly one of its methods is called, once. */
interface ProposalCallback {

  /** The command is committed and applied. */
  void committed(CommandResult result, long nowNs);

  /** The command was not appended and will never be applied. */
  void rejected(ProposalRejection reason, long nowNs);

  /** Leadership was lost before the outcome was known: the command may or may not be applied. */
  default void outcomeIndeterminate(long nowNs) {}
}
