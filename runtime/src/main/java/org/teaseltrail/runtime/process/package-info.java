/** Startup, graceful shutdown and exit codes of a program. */
package org.teaseltrail.runtime.process;
