/** Assertions that run in the program itself. */
package org.teaseltrail.core.invariant;
