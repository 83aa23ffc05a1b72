/** The scheduler of one pool: who is served next, by which upstream, and who is refused. */
package org.teaseltrail.core.schedule;
