/**
 * The replicated state: what the members apply from the log, one command after the other, with the
 * same result everywhere.
 */
package org.teaseltrail.core.state;
