/** Clocks used by the programs. */
package org.teaseltrail.runtime.clock;
