/** Claims, which record the request that holds a customer's idempotency key and its progress. */
package org.teaseltrail.core.claim;
