/** The one queue of a pool: tiers in order, customers in fairness, tickets by useful deadline. */
package org.teaseltrail.core.schedule.queue;
