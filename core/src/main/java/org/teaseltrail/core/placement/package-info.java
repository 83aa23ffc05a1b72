/**
 * How fast each upstream works at present, and the one estimate of where a request ends soonest.
 */
package org.teaseltrail.core.placement;
