/**
 * The entry VM: sessions with control members, admission, dispatch, answers and shutdown, as one
 * deterministic state machine whose root is {@link org.teaseltrail.core.entry.EntryNode}.
 */
package org.teaseltrail.core.entry;
