/** Routing, rejection and placement decisions, as they are written to the log. */
package org.teaseltrail.core.decision;
