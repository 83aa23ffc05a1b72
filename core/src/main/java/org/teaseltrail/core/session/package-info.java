/**
 * In-memory sessions of entry VMs on the leader: which VMs are alive and which configuration
 * revision each of them applies.
 */
package org.teaseltrail.core.session;
