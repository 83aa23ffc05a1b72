/**
 * What an entry VM and the leading control member tell each other so that the VM can place requests
 * by itself: the plan, the registrations, who else works where, and shares of quotas.
 */
package org.teaseltrail.core.serving;
