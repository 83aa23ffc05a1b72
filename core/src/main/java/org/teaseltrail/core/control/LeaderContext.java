package org.teaseltrail.core.control;

import org.teaseltrail.core.id.MemberId;

/**
 * Dependencies that each leadership of a member uses.
 *
 * @param self the member
 * @param settings its settings
 * @param stateMachine the replicated log and its state
 * @param actions collects actions
 * @param schedulerFactory creates schedulers
 */
record LeaderContext(
    MemberId self,
    ControlSettings settings,
    ReplicatedStateMachine stateMachine,
    ActionBuffer actions,
    SchedulerFactory schedulerFactory) {}
