/** Open-loop load tests against real entry VMs over the callers' HTTP protocol. */
package org.teaseltrail.load.http;
