/** The configuration that operators change, as one value with a revision. */
package org.teaseltrail.core.configuration;
