/** Messages between entry VMs and control members; who sends each is said by its interface. */
package org.teaseltrail.core.message;
