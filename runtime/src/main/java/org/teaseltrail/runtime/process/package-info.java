/** The start, the orderly end and the exit codes of a program. */
package org.teaseltrail.runtime.process;
