/** Moves a service from one version of its upstreams to another: order, evidence, verdict. */
package org.teaseltrail.core.rollout;
