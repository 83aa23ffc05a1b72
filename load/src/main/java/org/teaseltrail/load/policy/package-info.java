/**
 * Simulations that compare routing policies in virtual time. A simulation runs the real scheduler
 * or a baseline with a small number of engine models and constant message delays; all policies run
 * on the same seeds.
 */
package org.teaseltrail.load.policy;
