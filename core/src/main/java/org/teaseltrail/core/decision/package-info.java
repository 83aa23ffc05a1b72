/** Decisions of routing, refusal and placement, as the log tells them. */
package org.teaseltrail.core.decision;
