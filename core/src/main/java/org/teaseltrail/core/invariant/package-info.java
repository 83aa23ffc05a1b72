/** Checks, inside the running program, of what its users rely on. */
package org.teaseltrail.core.invariant;
