/** The program of a control member: sockets, disk and timers around the member's decisions. */
package org.teaseltrail.control;
