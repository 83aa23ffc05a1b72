/**
 * Division of slots between customers and between kinds of requests, by the slots that each
 * occupies at present. It knows no network, no VMs and no time.
 */
package org.teaseltrail.core.share;
