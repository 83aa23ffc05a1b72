/** Claims: which request holds a customer's idempotency key, and how far it has come. */
package org.teaseltrail.core.claim;
