/** The program's subcommands: arguments in, a report out. */
package org.teaseltrail.load.command;
