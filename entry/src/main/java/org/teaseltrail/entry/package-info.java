/**
 * The daemon of an entry VM: the HTTP server for callers and upstreams and the connections to
 * control members. The decisions are made by {@link org.teaseltrail.core.entry.EntryNode}.
 */
package org.teaseltrail.entry;
