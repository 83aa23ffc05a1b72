/**
 * Request outcomes and counters, shared by simulations in virtual time and load tests over HTTP.
 */
package org.teaseltrail.load.measure;
