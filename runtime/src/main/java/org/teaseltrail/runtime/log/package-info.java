/**
 * Logging through {@link java.lang.System.Logger} with Logback as the back end, configured in code.
 */
package org.teaseltrail.runtime.log;
