/**
 * What an entry VM without a path to a service's upstreams does for its callers: it detects that it
 * has none, and relays their requests to a peer, an entry VM that has one.
 */
package org.teaseltrail.core.relay;
