/** The stand-in program: runs the model of an engine or of a plain service on a socket. */
package org.teaseltrail.standin;
