/**
 * The configuration that operators change, as one value with a revision, and the rules that each
 * change must keep.
 */
package org.teaseltrail.core.configuration;
