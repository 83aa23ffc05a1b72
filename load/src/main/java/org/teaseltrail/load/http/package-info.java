/** Open-loop load over the callers' HTTP protocol against the real entry VMs. */
package org.teaseltrail.load.http;
