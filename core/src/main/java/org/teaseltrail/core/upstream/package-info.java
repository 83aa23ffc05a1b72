/** Information that upstreams report about themselves. */
package org.teaseltrail.core.upstream;
