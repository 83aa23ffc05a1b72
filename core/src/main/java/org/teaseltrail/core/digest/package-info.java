/** Digests of the JDK that every Java platform has. */
package org.teaseltrail.core.digest;
