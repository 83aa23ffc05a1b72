/** Checks inside the program of what must always hold. */
package org.teaseltrail.core.invariant;
