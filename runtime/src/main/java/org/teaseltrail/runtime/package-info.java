/** Basics shared by all programs: settings, logs, metrics, startup and graceful shutdown. */
package org.teaseltrail.runtime;
