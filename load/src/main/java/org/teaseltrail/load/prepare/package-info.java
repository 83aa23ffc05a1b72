/**
 * Writer for the settings of a complete deployment on the loopback interface, used for measurements
 * on a single machine.
 */
package org.teaseltrail.load.prepare;
