/** Remembers requests by their content, to stop those that end the upstreams which run them. */
package org.teaseltrail.core.quarantine;
