/** Explanation of a request's outcome from the log lines of several processes. */
package org.teaseltrail.cli.explain;
