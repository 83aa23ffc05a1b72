/** Clocks of the programs. */
package org.teaseltrail.runtime.clock;
