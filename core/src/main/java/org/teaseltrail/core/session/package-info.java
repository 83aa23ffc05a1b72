/**
 * Sessions of entry VMs in the leader's memory: who is alive and which configuration it applies.
 */
package org.teaseltrail.core.session;
