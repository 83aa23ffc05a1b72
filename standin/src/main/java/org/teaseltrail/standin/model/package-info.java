/**
 * Models an engine and a plain service as deterministic state machines: events and the time go in,
 * actions come out. Tests and measurements run them under virtual time, the stand-in program on a
 * socket.
 */
package org.teaseltrail.standin.model;
