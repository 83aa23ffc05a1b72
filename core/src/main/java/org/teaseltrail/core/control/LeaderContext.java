package org.teaseltrail.core.control;

import org.teaseltrail.core.id.MemberId;

/**
 * Holds what each leadership of a member uses.
 *
 * @param self the member
 * @param settings its settings
 * @param replicated the log and its state
 * @param out collects actions
 * @param factory makes schedulers
 */
record LeaderContext(
    MemberId self,
    ControlSettings settings,
    ReplicatedState replicated,
    Outbox out,
    SchedulerFactory factory) {}
