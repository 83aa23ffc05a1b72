/**
 * The request aggregate: its states from arrival to end, its typed outcomes, the check of the
 * frames of its answer, and the estimates its ticket carries.
 */
package org.teaseltrail.core.request;
