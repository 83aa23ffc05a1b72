/** Canary rollouts, which move a service to another version of its upstreams or roll it back. */
package org.teaseltrail.core.rollout;
