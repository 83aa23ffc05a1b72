/**
 * The waiting queue of a pool: strict priority between tiers, weighted fair queueing between
 * customers, and tickets of a customer by useful deadline.
 */
package org.teaseltrail.core.schedule.queue;
