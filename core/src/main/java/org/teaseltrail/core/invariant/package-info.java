/** Runtime checks of the invariants that users rely on. */
package org.teaseltrail.core.invariant;
