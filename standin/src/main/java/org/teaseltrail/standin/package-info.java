/** Simulated upstream: a daemon that serves the model of an engine or a plain service over HTTP. */
package org.teaseltrail.standin;
