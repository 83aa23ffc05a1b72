/** Tells a request's story from the log lines of several processes. */
package org.teaseltrail.cli.explain;
