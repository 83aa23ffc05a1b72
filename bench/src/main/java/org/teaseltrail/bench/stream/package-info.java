/** Costs of the origins of streams at entry VMs and control members. */
package org.teaseltrail.bench.stream;
