/** Subcommands of the program, which parse arguments and print reports. */
package org.teaseltrail.load.command;
