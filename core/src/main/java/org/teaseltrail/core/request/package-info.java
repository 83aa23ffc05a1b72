/**
 * The request aggregate: the state machine of a request, its typed outcomes, the validation of the
 * frames of its answer, and the estimates that its ticket carries.
 */
package org.teaseltrail.core.request;
