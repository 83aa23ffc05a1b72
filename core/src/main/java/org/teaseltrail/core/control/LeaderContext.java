package org.teaseltrail.core.control;

import org.teaseltrail.core.id.MemberId;

/**
 * Holds what each leadership of a member uses.
 *
 * @param self the member
 * @param settings its settings
 * @param stateMachine the log and its state
 * @param actions collects actions
 * @param schedulerFactory makes schedulers
 */
record LeaderContext(
    MemberId self,
    ControlSettings settings,
    ReplicatedStateMachine stateMachine,
    ActionBuffer actions,
    SchedulerFactory schedulerFactory) {}
