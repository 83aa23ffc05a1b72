/**
 * The program of an entry VM: callers' HTTP, upstreams' HTTP and the connections to control
 * members, around {@link org.teaseltrail.core.entry.EntryNode}, which decides.
 */
package org.teaseltrail.entry;
