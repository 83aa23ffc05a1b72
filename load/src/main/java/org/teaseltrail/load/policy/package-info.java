/**
 * Compares routing policies in virtual time: the real scheduler or a baseline, a handful of engine
 * models and fixed message delays, on paired seeds.
 */
package org.teaseltrail.load.policy;
