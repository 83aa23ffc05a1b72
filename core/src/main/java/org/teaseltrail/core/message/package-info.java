/** Messages between entry VMs and control members, with one interface per direction. */
package org.teaseltrail.core.message;
