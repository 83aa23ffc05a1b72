/**
 * The configuration that operators change, as one immutable value with a revision, and its
 * validation rules.
 */
package org.teaseltrail.core.configuration;
