/** Logs by {@link java.lang.System.Logger} over Logback, set up in code. */
package org.teaseltrail.runtime.log;
