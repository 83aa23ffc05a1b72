/**
 * Models of an inference engine and of a plain service as deterministic state machines, which map
 * an event and a time to actions. Tests and measurements run them under virtual time; the simulated
 * upstream serves them over HTTP.
 */
package org.teaseltrail.standin.model;
