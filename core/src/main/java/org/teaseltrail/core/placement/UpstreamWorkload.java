package org.teaseltrail.core.placement;

/**
 * What a new request meets at an upstream. Example: work takes 2.5 times its usual time, one prompt
 * is unread, four of ten slots are in use.
 *
 * @param slowness time that work takes there, relative to the usual time of the service
 * @param unreadPrompts prompts there that have no first event yet
 * @param utilization slots in use there, relative to all slots
 */
public record UpstreamWorkload(double slowness, int unreadPrompts, double utilization) {}
