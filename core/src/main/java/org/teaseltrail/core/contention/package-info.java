/**
 * Settings of the features that decide what happens when callers compete for an engine's slots, and
 * the rule by which a deployment gets them.
 */
package org.teaseltrail.core.contention;
