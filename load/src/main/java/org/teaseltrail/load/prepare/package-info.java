/** Writes the settings of a whole deployment on loopback, for measurements on one machine. */
package org.teaseltrail.load.prepare;
